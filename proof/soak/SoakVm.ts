import { type ChildProcess, spawn } from "node:child_process";
import { once } from "node:events";
import { createWriteStream, writeFileSync } from "node:fs";
import { join } from "node:path";
import { exitWithParent } from "../processes/exitWithParent.js";
import type { SoakPorts } from "./SoakPorts.js";

interface SoakVmOptions {
    readonly name: string;
    readonly availabilityZone: string;
    readonly storeAddress: string;
    readonly seeds: readonly string[];
    readonly ports: SoakPorts;
    /** Folder for the settings file and the log of the VM. */
    readonly folder: string;
    readonly onUnexpectedExit: (vm: string) => void;
}

const restartDelayMs = 300;

/** A VM on the platform in a separate process, which is restarted whenever it exits and ends when this process does. */
export class SoakVm {
    private child: ChildProcess | undefined;
    private isRunning = false;
    private isExitExpected = false;
    /** Whether the process has written output, which shows that its own code runs. */
    private hasWrittenOutput = false;
    private isEnded = false;

    constructor(private readonly options: SoakVmOptions) {}

    get name(): string {
        return this.options.name;
    }

    start(): void {
        const { name, folder, ports } = this.options;
        const settingsFile = join(folder, `${name}.conf`);
        writeFileSync(settingsFile, this.settings());
        const program = ["--import", "tsx", "platform/main.ts", "--metrics-port", String(ports.metrics)];
        const child = spawn(process.execPath, [...exitWithParent, ...program], {
            env: { ...process.env, ORIOLESHELF_CONFIG: settingsFile },
            stdio: ["pipe", "pipe", "pipe"],
        });
        const log = createWriteStream(join(folder, `${name}.log`), { flags: "a" });
        child.stdout.pipe(log, { end: false });
        child.stderr.pipe(log, { end: false });
        child.stdout.once("data", () => {
            this.hasWrittenOutput = true;
        });
        child.once("exit", () => {
            log.end();
            this.isRunning = false;
            // SIGHUP ends a process by default until its own code has installed a handler.
            this.isExitExpected ||= child.signalCode === "SIGHUP" && !this.hasWrittenOutput;
            this.scheduleRestart();
        });
        this.child = child;
        this.isRunning = true;
        this.isExitExpected = false;
        this.hasWrittenOutput = false;
    }

    /** Sends a signal to the current process of the VM. */
    signal(signal: "SIGTERM" | "SIGKILL" | "SIGSTOP" | "SIGCONT" | "SIGHUP"): void {
        this.isExitExpected ||= signal === "SIGTERM" || signal === "SIGKILL";
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

    /** Kills the process and does not scheduleRestart it. */
    async end(): Promise<void> {
        this.isEnded = true;
        const { child } = this;
        if (child !== undefined && this.isRunning) {
            const exited = once(child, "exit");
            child.kill("SIGCONT");
            child.kill("SIGKILL");
            await exited;
        }
    }

    private scheduleRestart(): void {
        if (this.isEnded) {
            return;
        }
        if (!this.isExitExpected) {
            this.options.onUnexpectedExit(this.options.name);
        }
        setTimeout(() => {
            if (!this.isEnded) {
                this.start();
            }
        }, restartDelayMs);
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
