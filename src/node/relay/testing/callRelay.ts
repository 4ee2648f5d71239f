import { type IncomingMessage, request as httpRequest } from "node:http";

interface ReceivedResponse {
    readonly status: number;
    readonly headers: IncomingMessage["headers"];
    readonly body: string;
    readonly isComplete: boolean;
}

/** Sends a call to a relay on this port over a connection of its own; `isComplete` is false when the response was cut off. */
export function callRelay(port: number, headers: Record<string, string> = {}, body = "hello"): Promise<ReceivedResponse> {
    return new Promise((resolve, reject) => {
        const request = httpRequest(
            {
                host: "127.0.0.1",
                port,
                path: "/a/b?c=d",
                method: "POST",
                agent: false,
                headers: { host: "shop.example", "call-id": "r-1", ...headers },
            },
            response => {
                const chunks: Buffer[] = [];
                response.on("data", (chunk: Buffer) => chunks.push(chunk));
                response.on("error", () => undefined);
                response.on("close", () => {
                    resolve({
                        status: response.statusCode ?? 0,
                        headers: response.headers,
                        body: Buffer.concat(chunks).toString(),
                        isComplete: response.complete,
                    });
                });
            },
        );
        request.on("error", reject);
        request.end(body);
    });
}
