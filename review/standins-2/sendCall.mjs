import { request as httpRequest } from "node:http";

/** Sends one request and resolves with its status, 0 when its channel ends without a whole answer, and its body. */
export function sendCall({ front, agent, host, path, method, id, headers, body, record }) {
    record.add("sent", { id, to: front.host, method, path });
    return new Promise(resolve => {
        const settle = (status, text, seal) => {
            record.add("answered", { id, status, seal, body: JSON.stringify(text) });
            resolve({ id, status, text, seal });
        };
        const call = httpRequest({
            ...front,
            agent,
            path,
            method,
            headers: { host, "x-attempt-id": id, "content-length": Buffer.byteLength(body), ...headers },
        }, answer => {
            let text = "";
            answer.on("data", chunk => text += chunk).on("error", () => undefined).on("close", () => {
                settle(answer.complete ? answer.statusCode : 0, text, answer.headers["x-server-seal"]);
            });
        });
        call.on("error", () => settle(0, ""));
        call.end(body);
    });
}
