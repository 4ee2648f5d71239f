import { expect } from "earl";
import { errAsync, okAsync } from "neverthrow";
import { test } from "node:test";
import { exampleMember } from "../../core/membership/testing/exampleMember.js";
import type { PeerMessage } from "../../schema/peer/PeerMessage.js";
import type { LogSnapshot } from "./LogSnapshot.js";
import { SnapshotExchange } from "./SnapshotExchange.js";

const record = (valueBytes: number) => ({ offset: 3, key: "a", value: Buffer.alloc(valueBytes) });
const members = ["vm-1", "vm-2", "vm-3"].map(vm => exampleMember(vm, { state: vm === "vm-3" ? "ready" : "starting" }));

/** A VM to whose requests the others answer with `replies`; a VM without one cannot be reached. */
function createExchange(replies: Record<string, LogSnapshot | "none">, own?: LogSnapshot) {
    const asked: string[] = [];
    let openLink: (vm: string) => void = () => undefined;
    let answerAsk: (from: string, message: PeerMessage) => unknown = () => undefined;
    const exchange = new SnapshotExchange({
        links: {
            send: () => false,
            request: vm => {
                asked.push(vm);
                const reply = replies[vm];
                if (reply === undefined) {
                    return errAsync({ kind: "no-link", message: "" });
                }
                const snapshot = reply === "none"
                    ? {}
                    : {
                        snapshot: { ...reply, records: reply.records.map(entry => ({ ...entry, value: entry.value ?? Buffer.alloc(0) })) },
                    };
                return okAsync({ type: "keyedSnapshotAnswer", ...snapshot });
            },
            onMessage: (...[, handler]) => {
                answerAsk = handler as never;
            },
            onLinkOpened: listener => {
                openLink = listener;
            },
        },
        membership: { members },
        random: () => 0,
        getSnapshot: () => own,
    });
    exchange.start(new AbortController().signal);
    const request = (vm?: string) => exchange.request("config", vm, new AbortController().signal);
    const answer = () => answerAsk("vm-2", { type: "keyedSnapshotAsk", stream: "config" });
    return { request, answer, asked, openLink: (vm: string) => openLink(vm) };
}

test("a snapshot is requested from a ready VM that a link leads to, else from another linked one, and from no other", async () => {
    const snapshot = { epoch: 0, isRecent: true, nextOffset: 4, records: [record(10)] };
    const { request, asked, openLink } = createExchange({ "vm-2": "none", "vm-3": snapshot });
    expect(await request()).toEqual(undefined);
    openLink("vm-2");
    expect(await request()).toEqual(undefined);
    openLink("vm-3");
    expect((await request())?.nextOffset).toEqual(4);
    expect(asked).toEqual(["vm-2", "vm-3"]);
});

test("a VM that does not answer is not asked again until a link to it opens", async () => {
    const { request, asked, openLink } = createExchange({});
    openLink("vm-3");
    await request();
    await request();
    openLink("vm-3");
    await request();
    expect(asked).toEqual(["vm-3", "vm-3"]);
});

test("a VM answers with its records, and with none when it has no recent ones or they would occupy links for too long", () => {
    const answer = createExchange({}, { epoch: 0, isRecent: true, nextOffset: 4, records: [record(10)] }).answer();
    expect(answer).toEqual({ type: "keyedSnapshotAnswer", snapshot: { epoch: 0, isRecent: true, nextOffset: 4, records: [record(10)] } });
    expect(createExchange({}).answer()).toEqual({ type: "keyedSnapshotAnswer" });
    expect(createExchange({}, { epoch: 0, isRecent: true, nextOffset: 4, records: [record(200_000)] }).answer()).toEqual({
        type: "keyedSnapshotAnswer",
    });
});
