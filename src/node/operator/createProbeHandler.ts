import type { OperatorServerOptions } from "./OperatorServerOptions.js";

type Probe = () => Promise<{ readonly status: number; readonly contentType: string; readonly text: string; }>;

/** The part of a request that HTTP/1.1 and HTTP/2 have in common. */
interface ProbeRequest {
    readonly method?: string | undefined;
    readonly url?: string | undefined;
}

/** The part of a response that HTTP/1.1 and HTTP/2 have in common. */
interface ProbeResponse {
    writeHead(status: number, headers: Record<string, string>): unknown;
    end(text: string): unknown;
}

const plainTextType = "text/plain; charset=utf-8";

/** Creates the handler of `/healthz`, `/readyz` and `/metrics`. They expose no secrets and therefore require no token. */
export function createProbeHandler(options: Pick<OperatorServerOptions, "metrics" | "isReady">) {
    const probes: Readonly<Record<string, Probe>> = {
        "/healthz": () => Promise.resolve({ status: 200, contentType: plainTextType, text: "ok\n" }),
        "/readyz": () =>
            Promise.resolve(
                options.isReady()
                    ? { status: 200, contentType: plainTextType, text: "ready\n" }
                    : { status: 503, contentType: plainTextType, text: "not ready\n" },
            ),
        "/metrics": async () => ({ status: 200, contentType: options.metrics.contentType, text: await options.metrics.render() }),
    };
    return (request: ProbeRequest, response: ProbeResponse): void => {
        const path = request.url?.split("?")[0] ?? "";
        const probe = request.method === "GET" && Object.hasOwn(probes, path) ? probes[path] : undefined;
        void respond(probe, response);
    };
}

async function respond(probe: Probe | undefined, response: ProbeResponse): Promise<void> {
    const { status, contentType, text } = probe === undefined
        ? { status: 404, contentType: plainTextType, text: "not found\n" }
        : await probe();
    response.writeHead(status, { "content-type": contentType });
    response.end(text);
}
