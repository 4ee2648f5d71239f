import { buildSync } from "esbuild";
import { type ChildProcess, fork } from "node:child_process";
import { fileURLToPath } from "node:url";
import type { BenchCommand } from "./BenchCommand.js";
import type { BenchMessage } from "./BenchMessage.js";

const outputFolder = fileURLToPath(new URL("../../out/bench-path/", import.meta.url));

const bundlePaths = new Map<string, string>();

/** Child process of the benchmark, bundled in the same way as the released program. */
export class BenchProgram {
    /** Received messages that no call to `next` has taken yet. */
    private readonly messages: BenchMessage[] = [];
    private wake: () => void = () => undefined;
    private exitCause: string | undefined;

    private constructor(private readonly name: string, private readonly child: ChildProcess) {
        child.on("message", message => {
            this.messages.push(message as BenchMessage);
            this.wake();
        });
        child.on("exit", (code, signal) => {
            this.exitCause = signal ?? `code ${code}`;
            this.wake();
        });
        // Sending to a process that has just exited fails here; the exit event rejects the pending wait.
        child.on("error", () => undefined);
    }

    /** Starts `bench/path/{name}.ts` as a child process; each program is bundled once per run. */
    static start(name: string, argument: unknown, nodeOptions: readonly string[] = []): BenchProgram {
        const outfile = bundlePaths.get(name) ?? bundle(name);
        bundlePaths.set(name, outfile);
        return new BenchProgram(name, fork(outfile, [JSON.stringify(argument)], { execArgv: [...nodeOptions] }));
    }

    /** Next message of the given type; earlier ones of other types are discarded. Rejects when the process exits first. */
    async next<T extends BenchMessage["type"]>(type: T): Promise<Extract<BenchMessage, { type: T; }>> {
        for (;;) {
            const message = this.messages.shift();
            if (message === undefined && this.exitCause !== undefined) {
                throw new Error(`${this.name} exited (${this.exitCause}) before it sent "${type}"; run it on its own to see the error`);
            }
            if (message === undefined) {
                await new Promise<void>(resolve => {
                    this.wake = resolve;
                });
            }
            else if (message.type === type) {
                return message as Extract<BenchMessage, { type: T; }>;
            }
        }
    }

    /** Sends a command and waits for the answer of the given type. Rejects when the process exits first. */
    async ask<T extends BenchMessage["type"]>(command: BenchCommand, type: T): Promise<Extract<BenchMessage, { type: T; }>> {
        const answer = this.next(type);
        this.child.send(command);
        return answer;
    }

    stop(): void {
        // The child process exits when its IPC channel closes.
        if (this.child.connected) {
            this.child.disconnect();
        }
    }
}

function bundle(name: string): string {
    const outfile = `${outputFolder}${name}.mjs`;
    buildSync({
        entryPoints: [fileURLToPath(new URL(`./${name}.ts`, import.meta.url))],
        outfile,
        bundle: true,
        platform: "node",
        format: "esm",
        target: "node24",
        logLevel: "error",
        banner: { js: "import { createRequire } from 'node:module'; const require = createRequire(import.meta.url);" },
    });
    return outfile;
}
