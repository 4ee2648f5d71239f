import { expect } from "earl";
import { readFileSync } from "node:fs";
import { afterEach, test } from "node:test";
import { SystemScheduler } from "../timers/SystemScheduler.js";
import type { PeerTls } from "./PeerTls.js";
import { WebSocketPeerLinks } from "./WebSocketPeerLinks.js";

const certificate = readFileSync(new URL("../operator/testing/test-certificate.pem", import.meta.url), "utf8");
const privateKey = readFileSync(new URL("../operator/testing/test-key.pem", import.meta.url), "utf8");
const tls: PeerTls = { certificate, privateKey, certificateAuthority: certificate };
let stopController = new AbortController();

afterEach(() => {
    stopController.abort();
    stopController = new AbortController();
});

async function startLinks(
    vm: string,
    linksTls: PeerTls | undefined,
): Promise<{ readonly links: WebSocketPeerLinks; readonly port: number; }> {
    const links = new WebSocketPeerLinks({
        self: { vm, incarnation: "1" },
        listenHost: "127.0.0.1",
        listenPort: 0,
        sharedKey: "shared",
        scheduler: new SystemScheduler(),
        tls: linksTls,
    });
    links.onMessage(
        "configFetch",
        (...[, message]) => ({ type: "configFetch", fromOffset: message.fromOffset + 1 }),
        stopController.signal,
    );
    return { links, port: (await links.start(stopController.signal))._unsafeUnwrap() };
}

test("peers connect over TLS when their certificates are signed by the configured authority", { timeout: 10_000 }, async () => {
    const [left, right] = [await startLinks("vm-1", tls), await startLinks("vm-2", tls)];
    left.links.setAddress("vm-2", `wss://127.0.0.1:${right.port}/peer`);
    const answer = await left.links.request("vm-2", { type: "configFetch", fromOffset: 1 }, 5000, stopController.signal);
    expect(answer._unsafeUnwrap()).toEqual({ type: "configFetch", fromOffset: 2 });
});

test("a peer that does not trust the certificate, or dials without TLS, gets no link", { timeout: 10_000 }, async () => {
    const server = await startLinks("vm-1", tls);
    for (const scheme of ["ws", "wss"]) {
        const dialer = await startLinks(`vm-${scheme}`, undefined);
        dialer.links.setAddress("vm-1", `${scheme}://127.0.0.1:${server.port}/peer`);
        const answer = await dialer.links.request("vm-1", { type: "configFetch", fromOffset: 1 }, 5000, stopController.signal);
        expect(answer._unsafeUnwrapErr().kind).toEqual("no-link");
        expect(server.links.hasLink(`vm-${scheme}`)).toEqual(false);
    }
});
