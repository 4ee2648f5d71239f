import { expect } from "earl";
import { errAsync } from "neverthrow";
import { test } from "node:test";
import { exampleMember } from "../../core/membership/testing/exampleMember.js";
import type { PeerMessage } from "../../schema/peer/PeerMessage.js";
import type { PeerLinks } from "../services/PeerLinks.js";
import { ReadForwarder } from "./ReadForwarder.js";

const members = [...Array(195).keys()].map(index => exampleMember(`vm-${index}`, { availabilityZone: `z${index % 5}` }));

/** A fleet in which messages arrive at once, except at VMs without a link. */
function createFleet(unlinkedVms: readonly string[] = []) {
    const handlers = new Map<string, (from: string, message: PeerMessage) => unknown>();
    const sentBy = new Map<string, number>();
    const received = new Map<string, number[]>();
    const forwarders = members.map(({ vm }) => {
        const links: PeerLinks = {
            send: (to, message) => {
                if (unlinkedVms.includes(to)) {
                    return false;
                }
                sentBy.set(vm, (sentBy.get(vm) ?? 0) + 1);
                handlers.get(to)?.(vm, message);
                return true;
            },
            request: () => errAsync({ kind: "no-link", message: "" }),
            onMessage: (...[, handler]) => {
                handlers.set(vm, handler as never);
            },
        };
        const forwarder = new ReadForwarder({
            vm,
            links,
            membership: { members },
            onRead: (from, stream, { records }) => {
                expect([from === vm, stream]).toEqual([false, "config"]);
                received.set(vm, [...received.get(vm) ?? [], ...records.map(record => record.value?.length ?? 0)]);
            },
        });
        forwarder.start(new AbortController().signal);
        return forwarder;
    });
    const forward = (valueBytes: number) => {
        const records = [{ offset: 4, key: "config", value: Buffer.alloc(valueBytes) }];
        return forwarders[0]?.forward("config", { epoch: 0, isWhole: false, fromOffset: 4, nextOffset: 5, records });
    };
    return { forward, sentBy, received };
}

test("a configuration of 60 kB reaches each VM of a large fleet once, and no VM sends it to more than 24 others", () => {
    const { forward, sentBy, received } = createFleet();
    expect(forward(60_000)).toEqual({ sent: 194, unsent: 0 });
    expect([...received.values()]).toEqual(Array(194).fill([60_000]));
    expect(received.has("vm-0")).toEqual(false);
    expect(Math.max(...sentBy.values()) <= 24).toEqual(true);
});

test("another VM of the group passes a read on when there is no link to the first one", () => {
    const { sentBy: sentBefore, forward: forwardBefore } = createFleet();
    forwardBefore(10);
    const relays = [...sentBefore.keys()].filter(vm => vm !== "vm-0");
    const { forward, received } = createFleet(relays);
    expect(forward(10)).toEqual({ sent: 194, unsent: 0 });
    expect(received.size).toEqual(194 - relays.length);
});

test("a read that would occupy links for too long is only announced", () => {
    const { forward, received } = createFleet();
    forward(1_000_000);
    expect([...received.values()]).toEqual(Array(194).fill([]));
});
