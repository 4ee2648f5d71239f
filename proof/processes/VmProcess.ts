import { type ChildProcess, spawn } from "node:child_process";
import { once } from "node:events";
import { createInterface } from "node:readline";
import { request } from "undici";
import { bundleProgram } from "./bundleProgram.js";
import { exitWithParent } from "./exitWithParent.js";

interface ServeOutput {
    readonly callerUrl: string;
    readonly operatorUrl: string;
    readonly peerUrl: string;
}

/** One VM in a separate process, started by `orioleshelf serve`, which ends when this process does. */
export class VmProcess {
    private hasExited = false;

    private constructor(
        readonly id: string,
        readonly callerUrl: string,
        readonly operatorUrl: string,
        readonly peerUrl: string,
        private readonly child: ChildProcess,
        readonly exited: Promise<number | string>,
    ) {
        child.once("exit", () => {
            this.hasExited = true;
        });
    }

    /** Starts a VM with a settings file; resolves when its listeners are open. */
    static async start(id: string, settingsFile: string, environment: Record<string, string>): Promise<VmProcess> {
        const child = spawn(process.execPath, [...exitWithParent, await bundleProgram(), "serve", "--settings", settingsFile], {
            env: { ...process.env, ...environment },
            stdio: ["pipe", "pipe", "pipe"],
        });
        const errorLines: string[] = [];
        createInterface({ input: child.stderr }).on("line", line => {
            errorLines.push(line);
            process.stderr.write(line + "\n");
        });
        const exited = once(child, "close").then(([code, signal]) => (code ?? signal) as number | string);
        const lines = createInterface({ input: child.stdout });
        const line = await Promise.race([once(lines, "line").then(([first]) => String(first)), exited]);
        if (typeof line !== "string" || !line.startsWith("{")) {
            throw new Error(`VM ${id} did not start: ${line}; ${errorLines.join("; ")}`);
        }
        const urls = JSON.parse(line) as ServeOutput;
        return new VmProcess(id, urls.callerUrl, urls.operatorUrl, urls.peerUrl, child, exited);
    }

    get isRunning(): boolean {
        return !this.hasExited;
    }

    /** Sends a signal to the process of the VM. */
    signal(name: NodeJS.Signals): void {
        this.child.kill(name);
    }

    /** Kills the process if it is still running, and waits for its exit. */
    async destroy(): Promise<void> {
        if (this.isRunning) {
            this.child.kill("SIGKILL");
        }
        await this.exited;
    }

    async isReady(): Promise<boolean> {
        try {
            const response = await request(`${this.callerUrl}/readyz`);
            await response.body.dump();
            return response.statusCode === 200;
        }
        catch {
            return false;
        }
    }
}
