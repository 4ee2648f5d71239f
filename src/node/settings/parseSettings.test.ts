import { expect } from "earl";
import fc from "fast-check";
import { test } from "node:test";
import { stringify } from "yaml";
import { parseSettings } from "./parseSettings.js";

const minimalSettings = `vm:
  id: lautoka-1
  availabilityZone: lautoka
  region: fiji-west
listen:
  caller: { port: 7001 }
  operator: { port: 7002 }
  peer: { host: 10.0.0.1, port: 7003 }
peers:
  seeds: [ws://10.0.0.2:7003]
  key: { env: PEER_KEY }
operator:
  token: { file: token.txt }
platform:
  log: { url: http://10.0.9.1/log }
  vmList: { url: http://10.0.9.1/vms }
  weightStore: { url: http://10.0.9.1/weights }
`;

function listErrors(text: string): string[] {
    return parseSettings(text).match(() => [], errors => [...errors].map(error => `${error.kind} ${error.line} ${error.path}`));
}

test("keys missing from a minimal file get their defaults", () => {
    const settings = parseSettings(minimalSettings)._unsafeUnwrap();
    expect(settings.logs.format).toEqual("plain");
    expect(settings.listen.caller.host).toEqual("127.0.0.1");
    expect(settings.timeouts.upstreamGapMs).toEqual(10_000);
});

test("all errors of a file are returned together, with kind, line and path", () => {
    const text = minimalSettings
        .replace("  id: lautoka-1\n", "")
        .replace("port: 7001", "port: 70010")
        .replace("{ env: PEER_KEY }", "{ env: PEER_KEY, file: x }")
        .replace("ws://10.0.0.2:7003", "10.0.0.2")
        .concat("logs:\n  format: xml\n  colour: red\nextra: 1\n");
    expect(listErrors(text)).toEqualUnsorted([
        "missing 1 vm.id",
        "wrong-value 5 listen.caller.port",
        "wrong-value 9 peers.seeds.0",
        "wrong-value 10 peers.key",
        "wrong-value 18 logs.format",
        "unknown-key 19 logs.colour",
        "unknown-key 20 extra",
    ]);
});

test("invalid YAML, an empty file and an alias bomb return errors instead of throwing", () => {
    expect(listErrors("vm: [")[0]).toEqual("syntax 1 ");
    expect(listErrors("").length > 0).toEqual(true);
    const levels = [..."bcdefgh"].map((name, index) => `${name}: &${name} [${Array(9).fill(`*${"abcdefg"[index]}`).join(", ")}]`);
    const bomb = ["a: &a [x, x, x, x, x, x, x, x, x]", ...levels].join("\n");
    expect(listErrors(bomb)).toEqual(["syntax 1 "]);
});

test("arbitrary text never makes the parser throw, and each error has a remedy", () => {
    const yaml = fc.oneof(
        fc.string(),
        fc.jsonValue().map(value => stringify(value)),
        fc.string({ unit: fc.constantFrom(..."&*:[]{}-!|> \n\tab\"'") }),
    );
    fc.assert(
        fc.property(yaml, text => {
            const errors = parseSettings(text).match(() => [], list => [...list]);
            return errors.every(error => error.remedy.length > 0);
        }),
        { seed: 3, numRuns: 500 },
    );
});

test("a retention of idempotency keys shorter than the longest call is rejected", () => {
    const errors = parseSettings(minimalSettings + "bookings:\n  retentionMs: 120000\n").match(() => [], list => [...list]);
    expect(errors.map(({ path, line }) => [path, line !== undefined])).toEqual([["bookings.retentionMs", true]]);
});
