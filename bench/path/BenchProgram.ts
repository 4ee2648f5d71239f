import { buildSync } from "esbuild";
import { type ChildProcess, fork } from "node:child_process";
import { fileURLToPath } from "node:url";
import type { BenchCommand } from "./BenchCommand.js";
import type { BenchMessage } from "./BenchMessage.js";

const outputFolder = fileURLToPath(new URL("../../out/bench-path/", import.meta.url));

const built = new Map<string, string>();

/** A program of the benchmark, bundled as the shipped binary is, in a process of its own. */
export class BenchProgram {
    /** Messages that came before they were asked for. */
    private readonly messages: BenchMessage[] = [];
    private wake: () => void = () => undefined;
    private endedBy: string | undefined;

    private constructor(private readonly name: string, private readonly child: ChildProcess) {
        child.on("message", message => {
            this.messages.push(message as BenchMessage);
            this.wake();
        });
        child.on("exit", (code, signal) => {
            this.endedBy = signal ?? `code ${code}`;
            this.wake();
        });
        // A command to a program that has just ended is told by its end.
        child.on("error", () => undefined);
    }

    /** Builds, once a run, and starts `bench/path/{name}.ts`. */
    static start(name: string, argument: unknown, nodeOptions: readonly string[] = []): BenchProgram {
        const outfile = built.get(name) ?? build(name);
        built.set(name, outfile);
        return new BenchProgram(name, fork(outfile, [JSON.stringify(argument)], { execArgv: [...nodeOptions] }));
    }

    /** The next message of one type. Rejects when the program ends before it. */
    async next<T extends BenchMessage["type"]>(type: T): Promise<Extract<BenchMessage, { type: T; }>> {
        for (;;) {
            const message = this.messages.shift();
            if (message === undefined && this.endedBy !== undefined) {
                throw new Error(`${this.name} ended (${this.endedBy}) before it told "${type}"; run it alone to see why`);
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

    /** Gives a command and waits for its answer. */
    async ask<T extends BenchMessage["type"]>(command: BenchCommand, type: T): Promise<Extract<BenchMessage, { type: T; }>> {
        const answer = this.next(type);
        this.child.send(command);
        return answer;
    }

    stop(): void {
        // The program exits when its channel closes.
        if (this.child.connected) {
            this.child.disconnect();
        }
    }
}

function build(name: string): string {
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
