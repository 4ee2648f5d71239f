import { VirtualScheduler } from "../../../core/util/VirtualScheduler.js";
import type { ServiceLevel } from "../../../schema/report/ServiceLevel.js";
import type { TlsSettings } from "../../../schema/settings/TlsSettings.js";
import { OperatorServer } from "../OperatorServer.js";
import { FakeConfigService } from "./FakeConfigService.js";

interface StartedOperator {
    readonly config: FakeConfigService;
    readonly baseUrl: string;
    readonly token: string;
    /** Service levels that the Report call returns. */
    readonly levels: ServiceLevel[];
    readonly scheduler: VirtualScheduler;
}

/** Starts an operator server with fake services on a free loopback port, for tests. */
export async function startTestOperator(signal: AbortSignal, tls?: TlsSettings): Promise<StartedOperator> {
    const config = new FakeConfigService();
    const token = "operator-token-of-the-test";
    const levels: ServiceLevel[] = [];
    const scheduler = new VirtualScheduler();
    const server = new OperatorServer({
        vm: "nadi-1",
        availabilityZone: "nadi",
        version: "test",
        token,
        config,
        membership: { members: [], onChange: () => undefined },
        metrics: { contentType: "text/plain", render: () => Promise.resolve("orioleshelf_up 1\n") },
        isReady: () => config.isReady,
        scheduler,
        report: {
            report: sinceMs =>
                Promise.resolve({
                    generatedAtMs: 5,
                    sinceAtMs: 5 - sinceMs,
                    vms: ["nadi-1"],
                    silentVms: ["ba-1"],
                    levels,
                    logRead: true,
                }),
        },
        explain: {
            explain: query =>
                Promise.resolve({
                    events: [{
                        atMs: 1,
                        vm: "nadi-1",
                        kind: "granted",
                        subject: query.type,
                        facts: { upstream: "e1", position: 3, isFirst: true },
                    }],
                    reasons: [],
                    askedVms: ["nadi-1"],
                    silentVms: [],
                    held: [],
                }),
        },
    });
    const port = (await server.start({ host: "127.0.0.1", port: 0, tls }, signal))._unsafeUnwrap();
    return { config, baseUrl: `${tls === undefined ? "http" : "https"}://127.0.0.1:${port}`, token, levels, scheduler };
}
