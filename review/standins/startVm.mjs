import { spawn } from "node:child_process";
import { mkdtempSync, openSync, readFileSync, rmSync, writeFileSync } from "node:fs";
import { createServer } from "node:net";
import { tmpdir } from "node:os";
import { join } from "node:path";

const repository = new URL("../../", import.meta.url).pathname;

/**
 * Starts a router VM by the command of the deploy file, with the settings of a small site. `settings` holds further fields and replaces
 * those given here. Its standard output goes to a file in a temporary folder, which `stop` deletes.
 */
export async function startVm({ name, ip, zone, storeAddress, seeds, settings = {} }) {
    const [front, ready, control] = await Promise.all([findFreePort(ip), findFreePort(ip), findFreePort(ip)]);
    const folder = mkdtempSync(join(tmpdir(), "review-vm-"));
    const fields = {
        node_name: name,
        role: "router",
        machine_class: "front",
        serves: "front,control",
        ip,
        zone,
        region: "r1",
        "bind_addrs.front": `${ip}:${front}`,
        "bind_addrs.ready": `${ip}:${ready}`,
        "bind_addrs.control": `${ip}:${control}`,
        seeds: (seeds ?? [`${ip}:${control}`]).join(","),
        bootstrap: "true",
        "limits.cpu_share": "0.675",
        "limits.cores": "1",
        "bounds.grace_s": "8",
        "bounds.config_apply_ms": "2000",
        "bounds.drain_ms": "2000",
        "bounds.retry_budget_ratio": "0.2",
        "bounds.budget_window_s": "10",
        "bounds.budget_slack": "54",
        "platform.address": storeAddress,
        "platform.form": "log",
        ...settings,
    };
    const file = join(folder, "boot.conf");
    writeFileSync(file, Object.entries(fields).map(([field, value]) => `${field}=${value}\n`).join(""));
    const [program, ...args] = readRunCommand().split(" ");
    const output = openSync(join(folder, "log"), "w");
    const child = spawn(join(repository, program), args, {
        cwd: repository,
        env: { PATH: process.env.PATH, HOME: process.env.HOME, ORIOLESHELF_CONFIG: file },
        stdio: ["ignore", output, output],
    });
    const vm = {
        name,
        child,
        ip,
        ports: { front, ready, control },
        hasExited: false,
        readLog: () => readFileSync(join(folder, "log"), "utf8"),
        stop: () => {
            child.kill("SIGKILL");
            rmSync(folder, { recursive: true, force: true });
        },
    };
    child.once("exit", () => {
        vm.hasExited = true;
    });
    child.once("error", () => {
        vm.hasExited = true;
    });
    return vm;
}

/** The command of the role in the deploy file. */
function readRunCommand() {
    return /^run = "(.*)"$/m.exec(readFileSync(join(repository, "deploy/system.toml"), "utf8"))[1];
}

function findFreePort(host) {
    return new Promise((resolve, reject) => {
        const server = createServer();
        server.once("error", reject);
        server.listen(0, host, () => {
            const { port } = server.address();
            server.close(() => resolve(port));
        });
    });
}
