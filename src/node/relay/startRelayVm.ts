import type { ResultAsync } from "neverthrow";
import { createIncarnation } from "../fleet/createIncarnation.js";
import { createLogger } from "../logs/createLogger.js";
import { WebSocketPeerLinks } from "../peer/WebSocketPeerLinks.js";
import { SystemScheduler } from "../timers/SystemScheduler.js";
import { relayLinkLimits } from "./relayLinkLimits.js";
import { RelayVm } from "./RelayVm.js";
import type { RelayVmOptions } from "./RelayVmOptions.js";

const log = createLogger("vm");

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
        limits: relayLinkLimits,
    });
    const vm = new RelayVm({ ...options, scheduler, links, incarnation, peerUrl: `ws://${host}:${port}` });
    return links.start(signal).mapErr(error => error.message).andThen(() => vm.start(signal)).map(() => {
        log("serving", { vm: options.vm, availabilityZone: options.availabilityZone, incarnation });
        return vm;
    });
}
