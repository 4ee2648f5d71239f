import type { ResultAsync } from "neverthrow";
import { createIncarnation } from "../fleet/createIncarnation.js";
import { createLogger } from "../logs/createLogger.js";
import { defaultPeerLinkLimits } from "../peer/defaultPeerLinkLimits.js";
import { WebSocketPeerLinks } from "../peer/WebSocketPeerLinks.js";
import { SystemScheduler } from "../timers/SystemScheduler.js";
import { RelayVm } from "./RelayVm.js";
import type { RelayVmOptions } from "./RelayVmOptions.js";

const log = createLogger("vm");

/** Disables compression of peer links: when 80 VMs started together, setting it up and running it took a fifth of the time. */
const compressFromBytes = Infinity;
/**
 * Small VMs that all start at once answer handshakes late. Shorter timeouts make them redial, which takes more time than it saves: 32 VMs
 * on a busy machine kept redialling each other.
 */
const startupTolerantLinkLimits = {
    handshakeTimeoutMs: 2_000,
    redialAfterMs: 1_000,
    pingAfterMs: 900,
    silentAfterMs: 1_400,
    checkPeriodMs: 200,
};
/** A link in use carries a heartbeat, a load report or log records each second; links used only for discovery are closed after this. */
const idleAfterMs = 5_000;

/** Starts a VM that relays calls; the error names the port that could not be opened. Everything is released when `signal` aborts. */
export function startRelayVm(options: RelayVmOptions, signal: AbortSignal): ResultAsync<RelayVm, string> {
    const scheduler = new SystemScheduler();
    const incarnation = createIncarnation(scheduler.wallMs());
    const { host, port } = options.listen.peer;
    const links = new WebSocketPeerLinks({
        self: { vm: options.vm, incarnation },
        listenHost: host,
        listenPort: port,
        sharedKey: options.peerKey,
        scheduler,
        limits: { ...defaultPeerLinkLimits, ...startupTolerantLinkLimits, idleAfterMs, compressFromBytes },
    });
    const vm = new RelayVm({ ...options, scheduler, links, incarnation, peerUrl: `ws://${host}:${port}` });
    return links.start(signal).mapErr(error => error.message).andThen(() => vm.start(signal)).map(() => {
        log("serving", { vm: options.vm, availabilityZone: options.availabilityZone, incarnation });
        return vm;
    });
}
