import type { ConfigSnapshot } from "../../src/core/config/ConfigSnapshot.js";
import type { LogConfigService } from "../../src/node/config/LogConfigService.js";
import type { LogRecord } from "../../src/node/services/LogRecord.js";
import type { ConfigChange } from "../../src/schema/config/ConfigChange.js";
import type { PlantedConfigFault } from "./PlantedConfigFault.js";

/** The private members that the planted faults replace. */
interface Insides {
    hasCaughtUp: boolean;
    readonly fold: {
        lastOffset: number;
        isStale(operation: unknown): boolean;
        load(snapshot: ConfigSnapshot): boolean;
        fold(offset: number, payload: Uint8Array): unknown;
        snapshot(): ConfigSnapshot;
    };
    listPendingZones(offset: number): string[];
    foldRecords(records: readonly LogRecord[]): void;
    awaitZoneConfirmations(offset: number, deadlineMs: number): Promise<unknown>;
    publish(change: ConfigChange, deadlineMs: number): Promise<{ isOk(): boolean; value: unknown; }>;
}

function insides(service: LogConfigService): Insides {
    return service as unknown as Insides;
}

/** Planted faults for the invariants of the configuration, at least one for each. */
export const plantedConfigFaults: readonly PlantedConfigFault[] = [
    {
        name: "accept before the zones have confirmed",
        invariant: "false-accept",
        plant: service => {
            insides(service).listPendingZones = () => [];
        },
    },
    {
        name: "answer pending without naming a zone",
        invariant: "false-pending",
        plant: service => {
            insides(service).awaitZoneConfirmations = offset => Promise.resolve({ status: "pending", offset, pendingZones: [] });
        },
    },
    {
        name: "wait for zones without end",
        invariant: "never-told",
        plant: service => {
            insides(service).awaitZoneConfirmations = () => new Promise(() => undefined);
        },
    },
    {
        name: "tell a refusal of a change that took effect",
        invariant: "false-refusal",
        plant: service => {
            const inner = insides(service);
            const publish = inner.publish.bind(service);
            inner.publish = async (change, deadlineMs) => {
                const result = await publish(change, deadlineMs);
                return result.isOk() ? Object.assign(result, { value: { ...result.value as object, verdict: "conflict" } }) : result;
            };
        },
    },
    {
        name: "publish a change once more as a new one",
        invariant: "applied-twice",
        plant: service => {
            const inner = insides(service);
            const publish = inner.publish.bind(service);
            inner.publish = async (change, deadlineMs) => {
                const result = await publish(change, deadlineMs);
                const readRevision = inner.fold.lastOffset;
                const operations = change.operations.map(operation => ({ ...operation, readRevision }));
                await publish({ ...change, changeId: `${change.changeId}-again`, operations }, deadlineMs);
                return result;
            };
        },
    },
    {
        name: "load an older snapshot",
        invariant: "moved-back",
        plant: service => {
            const { fold } = insides(service);
            const load = fold.load.bind(fold);
            fold.load = snapshot => {
                fold.lastOffset = Math.min(fold.lastOffset, snapshot.offset - 1);
                return load(snapshot);
            };
        },
    },
    {
        name: "apply changes with a stale read revision on one VM",
        invariant: "split",
        plant: (service, vm) => {
            if (vm === 0) {
                insides(service).fold.isStale = () => false;
            }
        },
    },
    {
        name: "leave customers out of snapshots",
        invariant: "split",
        plant: service => {
            const { fold } = insides(service);
            const snapshot = fold.snapshot.bind(fold);
            fold.snapshot = () => {
                const fullSnapshot = snapshot();
                return { ...fullSnapshot, objects: fullSnapshot.objects.filter(stored => stored.object.kind !== "customer") };
            };
        },
    },
    {
        name: "be ready without any state",
        invariant: "accepted-reverted",
        plant: service => {
            insides(service).hasCaughtUp = true;
        },
    },
    {
        name: "stop following the log at the first malformed record",
        invariant: "not-spread",
        plant: service => {
            const inner = insides(service);
            const foldRecords = inner.foldRecords.bind(service);
            inner.foldRecords = records => {
                const malformedIndex = records.findIndex(record => record.payload.length < 2);
                foldRecords(malformedIndex < 0 ? records : records.slice(0, malformedIndex));
            };
        },
    },
];
