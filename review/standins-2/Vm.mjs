import { spawn } from "node:child_process";
import { once } from "node:events";
import { mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { request as httpRequest } from "node:http";
import { createServer } from "node:net";
import { tmpdir } from "node:os";
import { join } from "node:path";

const ports = { front: 8740, ready: 8749, control: 8748, metrics: 9464 };
const root = new URL("../../", import.meta.url);

/** Finds a prefix of loopback addresses, `127.A.B.`, on which the ports of the deploy file are free. */
export async function chooseLoopbackNet() {
    for (let tries = 0; tries < 50; tries++) {
        const net = `127.${20 + Math.floor(Math.random() * 200)}.${1 + Math.floor(Math.random() * 250)}.`;
        const isFree = await Promise.all(Object.values(ports).map(port => canListen(`${net}1`, port)));
        if (!isFree.includes(false)) {
            return net;
        }
    }
    throw new Error("no free loopback addresses");
}

function canListen(host, port) {
    return new Promise(resolve => {
        const server = createServer().once("error", () => resolve(false)).listen(port, host, () => {
            server.close(() => resolve(true));
        });
    });
}

/** Starts the program of the deploy file as the machine `name` on `ip`, with settings like those of the small installations. */
export function startVm({ name, ip, zone, zones, seeds, storeAddress, heartbeatMs = 1_200 }) {
    const folder = mkdtempSync(join(tmpdir(), "review-"));
    const settings = {
        node_name: name,
        role: "router",
        machine_class: "front",
        serves: "front,control",
        ip,
        zone,
        region: "r1",
        ...Object.fromEntries(zones.map(other => [`zones.${other}`, "r1"])),
        "bind_addrs.front": `${ip}:${ports.front}`,
        "bind_addrs.ready": `${ip}:${ports.ready}`,
        "bind_addrs.control": `${ip}:${ports.control}`,
        port_range: "7200,7215",
        seeds: seeds.map(seed => `${seed}:${ports.control}`).join(","),
        bootstrap: "true",
        "limits.cpu_share": "0.675",
        "limits.cores": "1",
        "limits.memory_mb": "350",
        "limits.max_fds": "4200",
        discovery: "platform",
        entry: "vip",
        heartbeat_ms: String(heartbeatMs),
        "bounds.stable_window_ms": "3000",
        "bounds.drain_ms": "2000",
        "bounds.grace_s": "8",
        "bounds.config_apply_ms": "2000",
        "bounds.retry_budget_ratio": "0.2",
        "bounds.budget_window_s": "10",
        "bounds.budget_slack": "54",
        "platform.address": storeAddress,
        "platform.form": "log",
    };
    const file = join(folder, "boot.conf");
    writeFileSync(file, Object.entries(settings).map(([field, value]) => `${field}=${value}\n`).join(""));
    const { PATH, HOME, LANG } = process.env;
    const child = spawn("target/orioleshelf", ["--metrics-port", String(ports.metrics)], {
        cwd: root,
        env: { PATH, HOME, LANG, ORIOLESHELF_CONFIG: file },
        stdio: ["ignore", process.env.VM_LOGS === "1" ? "inherit" : "ignore", "ignore"],
    });
    const exited = once(child, "exit").then(() => rmSync(folder, { recursive: true, force: true }));
    return { name, ip, front: { host: ip, port: ports.front }, child, exited };
}

/** Resolves with whether the VM says within `timeoutMs` that it is ready. */
export async function waitUntilReady({ ip }, timeoutMs) {
    const endMs = performance.now() + timeoutMs;
    while (performance.now() < endMs) {
        const status = await new Promise(resolve => {
            httpRequest({ host: ip, port: ports.ready, path: "/v1/ready", agent: false }, answer => {
                answer.resume();
                resolve(answer.statusCode);
            }).on("error", () => resolve(0)).end();
        });
        if (status === 200) {
            return true;
        }
        await new Promise(resolve => setTimeout(resolve, 100));
    }
    return false;
}

/** Kills the VMs that are still up and waits for their ends. */
export async function stopVms(vms) {
    for (const { child } of vms) {
        child.kill("SIGKILL");
    }
    await Promise.all(vms.map(({ exited }) => exited));
}
