import { ConfigFold } from "../../src/core/config/ConfigFold.js";
import { encodeSnapshot } from "../../src/node/config/encodeSnapshot.js";
import type { ConfigObject } from "../../src/schema/config/ConfigObject.js";
import { Customer } from "../../src/schema/config/Customer.js";
import { Pool } from "../../src/schema/config/Pool.js";
import { ServiceClass } from "../../src/schema/config/ServiceClass.js";
import { usedBytes } from "../usedBytes.js";
import type { Quantity } from "./Quantity.js";

const customerCount = 1_200;
const classCount = 7;
const poolCount = 8;
const upstreamCount = 1_300;
const zoneCount = 11;
const changeCount = 6_900;

/** Fold time, memory and encoded sizes of the configuration at the two-year size. The changes update customers, as most changes do. */
export function measureConfiguration(): Quantity[] {
    const before = usedBytes();
    const fold = new ConfigFold();
    let offset = 0;
    for (const object of createObjects()) {
        foldObject(fold, offset++, object);
    }
    fold.view();
    const memoryBytes = usedBytes() - before;
    const payloads = [...Array(changeCount).keys()].map(index => encode(offset + index, createCustomer(index % customerCount, index)));
    const startMs = performance.now();
    payloads.forEach((payload, index) => {
        fold.fold(offset + index, payload);
        fold.view();
    });
    const foldMicroseconds = (performance.now() - startMs) * 1_000 / changeCount;
    const snapshotBytes = encodeSnapshot(fold.snapshot()).length;
    const source = `${customerCount} customers, ${upstreamCount} upstreams, ${changeCount} changes`;
    const changeBytes = payloads.reduce((sum, payload) => sum + payload.length, 0) / changeCount;
    return [
        { name: "configBytes", value: Math.round(memoryBytes), unit: "bytes", source },
        { name: "foldMicroseconds", value: Math.round(foldMicroseconds), unit: "us", source },
        { name: "changeBytes", value: Math.round(changeBytes), unit: "bytes", source },
        { name: "snapshotBytes", value: snapshotBytes, unit: "bytes", source },
    ];
}

function foldObject(fold: ConfigFold, offset: number, object: ConfigObject): void {
    const { verdict, message } = fold.fold(offset, encode(offset, object));
    if (verdict !== "applied") {
        throw new Error(`configuration record of the benchmark was not applied, stopping the benchmark: ${message}`);
    }
}

function encode(offset: number, object: ConfigObject): Uint8Array {
    const operations = [{ op: "put", object }];
    const change = { type: "change", formatVersion: 1, changeId: `change-${offset}`, author: "benchmark", operations };
    return new TextEncoder().encode(JSON.stringify(change));
}

function createObjects(): ConfigObject[] {
    const classes = [...Array(classCount).keys()].map(tier => ({
        kind: "serviceClass" as const,
        value: ServiceClass.parse({ name: `tier-${tier}`, tier, firstTokenTargetMs: 450, tokenGapTargetMs: 35 }),
    }));
    const customers = [...Array(customerCount).keys()].map(index => createCustomer(index, 0));
    return [...classes, ...customers, ...[...Array(poolCount).keys()].map(createPool)];
}

function createCustomer(index: number, change: number): ConfigObject {
    const value = Customer.parse({
        name: `customer-${index}`,
        keyHashes: [index.toString(16).padStart(64, "0")],
        classes: ["tier-0", "tier-3"],
        defaultClass: "tier-3",
        requestsPerMinute: 600 + change,
        tokensPerMinute: 600_000,
        concurrentRequests: 50,
    });
    return { kind: "customer", value };
}

function createPool(index: number): ConfigObject {
    const upstreams = [...Array(Math.ceil(upstreamCount / poolCount)).keys()].map(number => ({
        id: `engine-${index}-${number}`,
        url: `http://10.0.${index}.${number}:8000`,
        availabilityZone: `zone-${number % zoneCount}`,
    }));
    const path = index % 2 === 0 ? "old" : "new";
    return {
        kind: "pool",
        value: Pool.parse({ name: `pool-${index}`, path, kind: "engine", services: [`model-${index >> 1}`], upstreams, repeatable: true }),
    };
}
