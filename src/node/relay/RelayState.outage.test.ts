import { expect } from "earl";
import { test } from "node:test";
import { simulateListOutage } from "./testing/simulateListOutage.js";

const seeds = [...Array(120).keys()].map(index => index + 1);

for (const knowsHeartbeat of [true, false]) {
    const name = knowsHeartbeat ? "known" : "unknown";

    // Guards against calls to an upstream that left shortly after the VM was cut off from the list.
    test(`an upstream that leaves around an outage of this VM gets no call after its drain time (heartbeat ${name})`, async () => {
        const late: string[] = [];
        for (const seed of seeds) {
            const { lateMs } = await simulateListOutage({ seed, kind: "vm", knowsHeartbeat });
            if (lateMs.length > 0) {
                late.push(`seed ${seed}: ${lateMs[0]} to ${lateMs.at(-1)} ms after the outage`);
            }
        }
        expect(late).toEqual([]);
    });

    // Guards against refused calls while upstreams are up whose entries expired during an outage of the store.
    test(`upstreams whose entries expire during an outage of the store stay available (heartbeat ${name})`, async () => {
        const lost: string[] = [];
        let expiredCount = 0;
        for (const seed of seeds) {
            const result = await simulateListOutage({ seed, kind: "store", knowsHeartbeat });
            expiredCount += result.expiredCount;
            if (result.lostIds.length > 0) {
                lost.push(`seed ${seed}: ${result.lostIds.join()}`);
            }
        }
        expect(lost).toEqual([]);
        expect(expiredCount).toBeGreaterThan(seeds.length);
    });
}
