import { err, ok, type Result } from "neverthrow";
import type { Settings } from "../../schema/settings/Settings.js";
import { createLogger } from "../logs/createLogger.js";
import { defaultPeerLinkLimits } from "../peer/defaultPeerLinkLimits.js";
import { WebSocketPeerLinks } from "../peer/WebSocketPeerLinks.js";
import { SystemScheduler } from "../timers/SystemScheduler.js";
import { createIncarnation } from "./createIncarnation.js";
import { readTlsCredentials } from "./readTlsCredentials.js";
import type { RunningVm } from "./RunningVm.js";
import type { TlsCredentials } from "./TlsCredentials.js";
import { Vm } from "./Vm.js";
import type { VmSecrets } from "./VmSecrets.js";
import type { VmStartError } from "./VmStartError.js";

const log = createLogger("vm");

/** Starts a VM: peer links first, then the caller and operator listeners. Everything closes when `signal` aborts or the VM has drained. */
export async function startVm(
    settings: Settings,
    secrets: VmSecrets,
    version: string,
    signal: AbortSignal,
): Promise<Result<RunningVm, VmStartError>> {
    const controller = new AbortController();
    const runSignal = AbortSignal.any([signal, controller.signal]);
    const started = await startTasksAndListeners(settings, secrets, version, runSignal);
    if (started.isErr()) {
        controller.abort();
        return err(started.error);
    }
    const { vm, urls } = started.value;
    vm.markServing();
    log("serving", { vm: settings.vm.id, callerUrl: urls.callerUrl, operatorUrl: urls.operatorUrl });
    return ok({
        id: settings.vm.id,
        availabilityZone: settings.vm.availabilityZone,
        ...urls,
        isReady: () => vm.isReady(),
        listReadyVms: () => vm.membership.members.filter(member => member.state === "ready").map(member => member.vm),
        drain: async () => {
            log("draining", { vm: settings.vm.id });
            await vm.drain();
            controller.abort();
        },
    });
}

interface StartedVm {
    readonly vm: Vm;
    readonly urls: Pick<RunningVm, "callerUrl" | "operatorUrl" | "peerUrl">;
}

async function startTasksAndListeners(
    settings: Settings,
    secrets: VmSecrets,
    version: string,
    signal: AbortSignal,
): Promise<Result<StartedVm, VmStartError>> {
    const scheduler = new SystemScheduler();
    const incarnation = createIncarnation(scheduler.wallMs());
    const peerTls = readTlsCredentials(settings.listen.peer, "listen.peer");
    const callerTls = readTlsCredentials(settings.listen.caller, "listen.caller");
    if (peerTls.isErr() || callerTls.isErr()) {
        return err(peerTls.isErr() ? peerTls.error : callerTls._unsafeUnwrapErr());
    }
    const links = createPeerLinks(settings, secrets, incarnation, scheduler, peerTls.value);
    const peerPort = await links.start(signal);
    if (peerPort.isErr()) {
        return err({ kind: "not-listening", message: peerPort.error.message });
    }
    const peerUrl = settings.peers.advertiseUrl ??
        formatUrl(settings.listen.peer.tls ? "wss" : "ws", settings.listen.peer.host, peerPort.value);
    const vm = new Vm({ settings, secrets, incarnation, links, peerUrl, callerTls: callerTls.value, scheduler, version });
    vm.startTasks(signal);
    const callerUrl = await vm.caller.start(signal);
    if (callerUrl.isErr()) {
        return err({ kind: "not-listening", message: callerUrl.error.message });
    }
    const { operator } = settings.listen;
    const operatorPort = await vm.operator.start(operator, signal);
    if (operatorPort.isErr()) {
        return err({ kind: "not-listening", message: operatorPort.error });
    }
    const operatorUrl = formatUrl(operator.tls ? "https" : "http", operator.host, operatorPort.value);
    return ok({ vm, urls: { callerUrl: callerUrl.value, operatorUrl, peerUrl } });
}

function createPeerLinks(
    settings: Settings,
    secrets: VmSecrets,
    incarnation: string,
    scheduler: SystemScheduler,
    tls: TlsCredentials | undefined,
): WebSocketPeerLinks {
    const { host, port } = settings.listen.peer;
    return new WebSocketPeerLinks({
        self: { vm: settings.vm.id, incarnation },
        listenHost: host,
        listenPort: port,
        sharedKey: secrets.peerKey,
        scheduler,
        limits: { ...defaultPeerLinkLimits, maxFrameBytes: settings.limits.maxPeerFrameBytes },
        tls: tls &&
            { certificate: tls.certificate, privateKey: tls.key, certificateAuthority: tls.certificateAuthority ?? tls.certificate },
    });
}

function formatUrl(scheme: string, host: string, port: number): string {
    return `${scheme}://${host.includes(":") ? `[${host}]` : host}:${port}`;
}
