// Starts the project's program as the deploy file does, one process a machine, on loopback.
import { spawn } from "node:child_process";
import { mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { createServer } from "node:net";
import { tmpdir } from "node:os";
import { dirname, join } from "node:path";
import { setTimeout as sleep } from "node:timers/promises";
import { fileURLToPath } from "node:url";

export const repository = join(dirname(fileURLToPath(import.meta.url)), "..", "..");
const program = join(repository, "target", "orioleshelf");
const folder = mkdtempSync(join(tmpdir(), "review-"));
const children = new Set();

process.on("exit", () => {
    for (const child of children) {
        child.kill("SIGKILL");
    }
    rmSync(folder, { recursive: true, force: true });
});
for (const signal of ["SIGINT", "SIGTERM", "SIGHUP"]) {
    process.on(signal, () => process.exit(2));
}

/** Limits and bounds of a small deployment, as the settings on the platform name them. */
const commonSettings = {
    role: "router",
    machine_class: "front",
    serves: "front,control",
    ip: "127.0.0.1",
    region: "r1",
    bootstrap: "true",
    "limits.cpu_share": "0.675",
    "limits.cores": "1",
    "limits.memory_mb": "350",
    "limits.max_fds": "4200",
    heartbeat_ms: "1200",
    contracts: "base,drain,config,cost,retry,recover,engine,stream,tenants,platform",
    "bounds.stable_window_ms": "3000",
    "bounds.drain_ms": "2000",
    "bounds.grace_s": "8",
    "bounds.loss_slack_ms": "200",
    "bounds.config_apply_ms": "2000",
    "bounds.retry_budget_ratio": "0.2",
    "bounds.budget_window_s": "10",
    "bounds.budget_slack": "54",
};

/** Starts the processes of `names`, each in a zone of its own, and resolves when all of them are ready. */
export async function startFleet(names, storePort, settings = {}) {
    const machines = await launchFleet(names, storePort, settings);
    await Promise.all(machines.map(waitUntilReady));
    return machines;
}

/** Starts the processes without waiting for them; `start` of a machine starts its process again. */
export async function launchFleet(names, storePort, settings = {}) {
    const machines = [];
    for (const [index, name] of names.entries()) {
        machines.push({ name, zone: `z${index + 1}`, ports: await freePorts(["front", "ready", "control", "metrics"]) });
    }
    const seeds = machines.slice(0, 3).map(({ ports }) => `127.0.0.1:${ports.control}`).join(",");
    for (const machine of machines) {
        const { name, zone, ports } = machine;
        const file = join(folder, `${name}.conf`);
        const fields = {
            node_name: name,
            zone,
            ...commonSettings,
            "bind_addrs.front": `127.0.0.1:${ports.front}`,
            "bind_addrs.ready": `127.0.0.1:${ports.ready}`,
            "bind_addrs.control": `127.0.0.1:${ports.control}`,
            seeds,
            "platform.address": `127.0.0.1:${storePort}`,
            ...settings,
        };
        writeFileSync(file, Object.entries(fields).map(([field, value]) => `${field}=${value}\n`).join(""));
        machine.lines = [];
        machine.start = () => {
            const child = spawn(program, ["--metrics-port", String(ports.metrics)], {
                cwd: repository,
                env: { PATH: process.env["PATH"], HOME: process.env["HOME"], LANG: "C.UTF-8", ORIOLESHELF_CONFIG: file },
                stdio: ["ignore", "pipe", "inherit"],
            });
            children.add(child);
            machine.child = child;
            machine.exited = new Promise(resolve => {
                child.once("exit", (code, signal) => {
                    children.delete(child);
                    resolve({ code, signal });
                });
                child.once("error", () => resolve({ code: -1, signal: null }));
            });
            let text = "";
            child.stdout.on("data", bytes => {
                text += bytes;
                const lines = text.split("\n");
                text = lines.pop() ?? "";
                machine.lines.push(...lines);
            });
        };
        machine.start();
    }
    return machines;
}

export async function waitUntilReady(machine) {
    for (let waitedMs = 0; waitedMs < 20_000; waitedMs += 100) {
        if (await isReady(machine)) {
            return;
        }
        await sleep(100);
    }
    throw new Error(`${machine.name} is not ready`);
}

export async function isReady({ ports }) {
    try {
        const reply = await fetch(`http://127.0.0.1:${ports.ready}/v1/ready`, { signal: AbortSignal.timeout(1_000) });
        await reply.text();
        return reply.status === 200;
    }
    catch {
        return false;
    }
}

export async function stopFleet(machines) {
    for (const { child } of machines) {
        child.kill("SIGKILL");
    }
    await Promise.all(machines.map(({ exited }) => exited));
}

async function freePorts(names) {
    const servers = await Promise.all(names.map(() =>
        new Promise((resolve, reject) => {
            const server = createServer();
            server.once("error", reject);
            server.listen(0, "127.0.0.1", () => resolve(server));
        })
    ));
    const ports = Object.fromEntries(names.map((name, index) => [name, servers[index].address().port]));
    await Promise.all(servers.map(server => new Promise(resolve => server.close(resolve))));
    return ports;
}
