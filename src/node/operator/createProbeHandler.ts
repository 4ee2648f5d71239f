import type { OperatorServerOptions } from "./OperatorServerOptions.js";

type Probe = () => Promise<{ readonly status: number; readonly contentType: string; readonly text: string; }>;

/** What HTTP/1.1 and HTTP/2 have in common of a request and its answer. */
interface ProbeRequest {
    readonly method?: string | undefined;
    readonly url?: string | undefined;
}

interface ProbeResponse {
    writeHead(status: number, headers: Record<string, string>): unknown;
    end(text: string): unknown;
}

const plainText = "text/plain; charset=utf-8";

/** Serves `/healthz`, `/readyz` and `/metrics` beside the calls. They carry no secret and need no token. */
export function createProbeHandler(options: Pick<OperatorServerOptions, "metrics" | "isReady">) {
    const probes: Readonly<Record<string, Probe>> = {
        "/healthz": () => Promise.resolve({ status: 200, contentType: plainText, text: "ok\n" }),
        "/readyz": () =>
            Promise.resolve(
                options.isReady()
                    ? { status: 200, contentType: plainText, text: "ready\n" }
                    : { status: 503, contentType: plainText, text: "not ready\n" },
            ),
        "/metrics": async () => ({ status: 200, contentType: options.metrics.contentType, text: await options.metrics.render() }),
    };
    return (request: ProbeRequest, response: ProbeResponse): void => {
        const path = request.url?.split("?")[0] ?? "";
        const probe = request.method === "GET" && Object.hasOwn(probes, path) ? probes[path] : undefined;
        void answer(probe, response);
    };
}

async function answer(probe: Probe | undefined, response: ProbeResponse): Promise<void> {
    const { status, contentType, text } = probe === undefined
        ? { status: 404, contentType: plainText, text: "not found\n" }
        : await probe();
    response.writeHead(status, { "content-type": contentType });
    response.end(text);
}
