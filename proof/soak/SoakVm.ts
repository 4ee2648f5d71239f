import { type ChildProcess, spawn } from "node:child_process";
import { once } from "node:events";
import { createWriteStream, writeFileSync } from "node:fs";
import { join } from "node:path";
import type { SoakPorts } from "./SoakPorts.js";

interface SoakVmOptions {
    readonly name: string;
    readonly availabilityZone: string;
    readonly storeAddress: string;
    readonly seeds: readonly string[];
    readonly ports: SoakPorts;
    /** Where settings and logs go. */
    readonly folder: string;
    readonly onOwnExit: (vm: string) => void;
}

const restartMs = 300;

/** A VM of the platform as a process of its own, which is started again whenever it ends. */
export class SoakVm {
    private child: ChildProcess | undefined;
    private isRunning = false;
    private isSignalled = false;
    /** The process has written something, so that its own code runs. */
    private hasBegun = false;
    private isOver = false;

    constructor(private readonly options: SoakVmOptions) {}

    get name(): string {
        return this.options.name;
    }

    start(): void {
        const { name, folder, ports } = this.options;
        const settingsFile = join(folder, `${name}.conf`);
        writeFileSync(settingsFile, this.settings());
        const child = spawn(process.execPath, ["--import", "tsx", "platform/main.ts", "--metrics-port", String(ports.metrics)], {
            env: { ...process.env, ORIOLESHELF_CONFIG: settingsFile },
            stdio: ["ignore", "pipe", "pipe"],
        });
        const log = createWriteStream(join(folder, `${name}.log`), { flags: "a" });
        child.stdout.pipe(log, { end: false });
        child.stderr.pipe(log, { end: false });
        child.stdout.once("data", () => {
            this.hasBegun = true;
        });
        child.once("exit", () => {
            log.end();
            this.isRunning = false;
            // Until its own code runs, no process can keep the system from ending it at SIGHUP.
            this.isSignalled ||= child.signalCode === "SIGHUP" && !this.hasBegun;
            this.restart();
        });
        this.child = child;
        this.isRunning = true;
        this.isSignalled = false;
        this.hasBegun = false;
    }

    /** Sends a signal to the process that this VM is now. */
    signal(signal: "SIGTERM" | "SIGKILL" | "SIGSTOP" | "SIGCONT" | "SIGHUP"): void {
        this.isSignalled ||= signal === "SIGTERM" || signal === "SIGKILL";
        this.child?.kill(signal);
    }

    async isReady(): Promise<boolean> {
        try {
            return (await fetch(`http://127.0.0.1:${this.options.ports.probe}/v1/ready`)).ok;
        }
        catch {
            return false;
        }
    }

    /** Ends the process for good. */
    async end(): Promise<void> {
        this.isOver = true;
        const { child } = this;
        if (child !== undefined && this.isRunning) {
            const exited = once(child, "exit");
            child.kill("SIGCONT");
            child.kill("SIGKILL");
            await exited;
        }
    }

    private restart(): void {
        if (this.isOver) {
            return;
        }
        if (!this.isSignalled) {
            this.options.onOwnExit(this.options.name);
        }
        setTimeout(() => {
            if (!this.isOver) {
                this.start();
            }
        }, restartMs);
    }

    private settings(): string {
        const { name, availabilityZone, storeAddress, seeds, ports } = this.options;
        const fields = {
            node_name: name,
            ip: "127.0.0.1",
            zone: availabilityZone,
            region: "r1",
            "bind_addrs.front": `127.0.0.1:${ports.caller}`,
            "bind_addrs.ready": `127.0.0.1:${ports.probe}`,
            "bind_addrs.control": `127.0.0.1:${ports.peer}`,
            seeds: seeds.join(","),
            "platform.address": storeAddress,
            "bounds.grace_s": "8",
        };
        return Object.entries(fields).map(([field, value]) => `${field}=${value}`).join("\n");
    }
}
