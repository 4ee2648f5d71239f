import { spawn } from "node:child_process";
import { once } from "node:events";
import { mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { exitWithParent } from "../processes/exitWithParent.js";
import { freePort } from "../processes/freePort.js";
import { LogReader } from "./LogReader.js";

/**
 * Starts the process of a VM that follows the store at this URL, and kills it when `signal` aborts. `seeds` holds the control addresses of
 * other VMs, `otherSettings` further fields of the settings file, `args` further arguments of the command line.
 */
export async function startPlatformVm(
    name: string,
    storeUrl: string,
    signal: AbortSignal,
    seeds: readonly string[] = [],
    otherSettings: Readonly<Record<string, string>> = {},
    args: readonly string[] = [],
) {
    const ports = { front: await freePort(), ready: await freePort(), control: await freePort(), metrics: await freePort() };
    const folder = mkdtempSync(join(tmpdir(), "platform-"));
    const settings = {
        node_name: name,
        ip: "127.0.0.1",
        zone: "z1",
        region: "r1",
        "bind_addrs.front": `127.0.0.1:${ports.front}`,
        "bind_addrs.ready": `127.0.0.1:${ports.ready}`,
        "bind_addrs.control": `127.0.0.1:${ports.control}`,
        "platform.address": storeUrl.replace("http://", ""),
        "bounds.grace_s": "2",
        seeds: seeds.join(","),
        ...otherSettings,
    };
    writeFileSync(join(folder, "boot.conf"), Object.entries(settings).map(([field, value]) => `${field}=${value}`).join("\n"));
    const child = spawn(process.execPath, [
        ...exitWithParent,
        "--import",
        "tsx",
        "platform/main.ts",
        "--metrics-port",
        String(ports.metrics),
        ...args,
    ], {
        env: { ...process.env, ORIOLESHELF_CONFIG: join(folder, "boot.conf") },
        stdio: ["pipe", "pipe", "inherit"],
    });
    signal.addEventListener("abort", () => child.kill("SIGKILL"), { once: true });
    const exited = once(child, "exit").then(([code]) => {
        rmSync(folder, { recursive: true });
        return code as unknown;
    });
    return { child, ports, log: new LogReader(child), exited };
}
