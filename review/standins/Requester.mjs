import { Agent, request } from "node:http";

/** A requester that keeps its channels open for many requests. */
export class Requester {
    #agent = new Agent({ keepAlive: true, maxSockets: 20 });

    /** Sends one request; resolves with its status, or with the code of the error that ended its channel. */
    send({ ip, port, method, path, headers, body }) {
        return new Promise(resolve => {
            const outgoing = request({ agent: this.#agent, host: ip, port, method, path, headers }, response => {
                let text = "";
                response.setEncoding("utf8").on("data", chunk => {
                    text += chunk;
                });
                response.once("close", () => {
                    resolve({ status: response.complete ? response.statusCode : "cut", headers: response.headers, text });
                });
            });
            outgoing.once("error", error => {
                resolve({ status: error.code ?? "error", headers: {}, text: "" });
            });
            outgoing.end(body);
        });
    }

    stop() {
        this.#agent.destroy();
    }
}
