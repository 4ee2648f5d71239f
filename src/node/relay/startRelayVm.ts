import type { ResultAsync } from "neverthrow";
import { createIncarnation } from "../fleet/createIncarnation.js";
import { createLogger } from "../logs/createLogger.js";
import { defaultPeerLinkLimits } from "../peer/defaultPeerLinkLimits.js";
import { WebSocketPeerLinks } from "../peer/WebSocketPeerLinks.js";
import { SystemScheduler } from "../timers/SystemScheduler.js";
import { RelayVm } from "./RelayVm.js";
import type { RelayVmOptions } from "./RelayVmOptions.js";

const log = createLogger("vm");

/** Nothing is compressed: when 80 VMs start together, setting up and running the compression of their links took a fifth of the time. */
const compressFromBytes = Infinity;
/**
 * Small VMs that all start at once answer a handshake late. Giving up sooner makes them dial again, which takes more time than it
 * saves: 32 VMs on a busy machine kept dialling each other.
 */
const patientLinks = { handshakeTimeoutMs: 2_000, redialAfterMs: 1_000, pingAfterMs: 900, silentAfterMs: 1_400, checkPeriodMs: 200 };
/** A link in use carries a heartbeat, a report or what was read each second; those of the time when VMs find each other are closed soon. */
const idleAfterMs = 5_000;

/** Starts one VM that relays calls; the error tells which port could not be opened. Everything is released when `signal` aborts. */
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
        limits: { ...defaultPeerLinkLimits, ...patientLinks, idleAfterMs, compressFromBytes },
    });
    const vm = new RelayVm({ ...options, scheduler, links, incarnation, peerUrl: `ws://${host}:${port}` });
    return links.start(signal).mapErr(error => error.message).andThen(() => vm.start(signal)).map(() => {
        log("serving", { vm: options.vm, availabilityZone: options.availabilityZone, incarnation });
        return vm;
    });
}
