import type { IncomingMessage, ServerResponse } from "node:http";
import { readBody } from "../shared/readBody.js";
import { sendJson } from "../shared/sendJson.js";
import { StandinServer } from "../shared/StandinServer.js";

interface DutyRequest {
    readonly path: string;
    readonly holder: string | undefined;
    readonly fencingNumber: string | undefined;
    readonly contentType: string | undefined;
    readonly body: string;
    /** Port of the client. */
    readonly port: number | undefined;
}

/** Simulates the platform's API for duties: records each request and answers it with `status`. Faults: `down`, `silent`. */
export class DutyApiStandin {
    readonly server = new StandinServer((request, response) => this.answer(request, response));
    readonly requests: DutyRequest[] = [];
    status = 200;

    private async answer(request: IncomingMessage, response: ServerResponse): Promise<void> {
        const body = (await readBody(request)).toString();
        const { headers, url = "", socket } = request;
        this.requests.push({
            path: url,
            holder: getHeader(headers["x-duty-holder"]),
            fencingNumber: getHeader(headers["x-fence-token"]),
            contentType: headers["content-type"],
            body,
            port: socket.remotePort,
        });
        if (this.server.faults.consume("silent") === undefined) {
            sendJson(response, this.status, {});
        }
    }
}

function getHeader(value: string | string[] | undefined): string | undefined {
    return typeof value === "string" ? value : undefined;
}
