import { rmSync } from "node:fs";
import { parseArgs } from "node:util";
import { checkSoak } from "./soak/checkSoak.js";
import { planSoak } from "./soak/planSoak.js";
import { SoakFleet } from "./soak/SoakFleet.js";
import { takeSoakPorts } from "./soak/takeSoakPorts.js";

const { values: options } = parseArgs({
    options: {
        seed: { type: "string", default: String(Date.now() % 1_000_000_000) },
        seeds: { type: "string", default: "1" },
        vms: { type: "string", default: "6" },
        seconds: { type: "string", default: "10" },
    },
});
const vms = Number(options.vms);
const ports = await Promise.all([...Array(vms).keys()].map(() => takeSoakPorts()));
const firstSeed = Number(options.seed);
let failed = 0;
for (let seed = firstSeed; seed < firstSeed + Number(options.seeds); seed++) {
    const folder = `out/soak/${seed}`;
    rmSync(folder, { recursive: true, force: true });
    const faults = planSoak(seed, { targets: vms, lengthMs: Number(options.seconds) * 1_000 });
    const fleet = new SoakFleet({ seed, ports, upstreams: 4, folder });
    const history = await fleet.run(faults).finally(() => fleet.end());
    const violations = checkSoak(history);
    const served = history.calls.filter(call => call.status === 200 && call.error === undefined).length;
    const plan = faults.map(({ kind, atMs, target }) => `${kind}@${atMs}/${target}`).join(" ");
    console.log(
        `seed ${seed}: ${served} of ${history.calls.length} calls served, ${history.runs.length} runs, ${violations.length} violations; faults: ${plan}`,
    );
    for (const line of violations.slice(0, 20)) {
        console.log(`  ${line}`);
    }
    failed += violations.length > 0 ? 1 : 0;
}
console.log(
    `${options.seeds} seeds from ${firstSeed}: ${failed} with violations${failed > 0 ? "; their VM logs are in out/soak" : ""}`,
);
process.exit(failed > 0 ? 1 : 0);
