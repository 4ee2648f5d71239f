import { once } from "node:events";
import { EngineStandin } from "../../../standins/engine/EngineStandin.js";
import { LogStandin } from "../../../standins/log/LogStandin.js";
import { ServiceStandin } from "../../../standins/service/ServiceStandin.js";
import { VmListStandin } from "../../../standins/vmlist/VmListStandin.js";
import { WeightStoreStandin } from "../../../standins/weights/WeightStoreStandin.js";
import type { CommandContext } from "../CommandContext.js";
import { ExitCode } from "../ExitCode.js";
import { parseOptions } from "../parseOptions.js";
import { UsageError } from "../UsageError.js";

const usage = "orioleshelf standin KIND [--port N] [--model NAME]... [--name NAME] [--seed N]";
const maxPort = 65_535;
const options = {
    port: { type: "string", default: "0" },
    model: { type: "string", multiple: true },
    name: { type: "string" },
    seed: { type: "string", default: "1" },
} as const;

interface StandinChoice {
    readonly models: readonly string[] | undefined;
    readonly name: string | undefined;
    readonly seed: number;
}

type Start = (signal: AbortSignal, port: number, choice: StandinChoice) => Promise<string>;

/** Each kind of stand-in with how it is started; resolves with its URL. */
const kinds: Readonly<Record<string, Start>> = {
    "engine": (signal, port, { models, seed }) =>
        new EngineStandin({ seed, ...models === undefined ? {} : { models } }).start(signal, port),
    "service": (signal, port, { name }) => new ServiceStandin(name === undefined ? {} : { name }).start(signal, port),
    "log": async (signal, port) => (await new LogStandin().start(signal, port)).url,
    "weight-store": (signal, port) => new WeightStoreStandin().start(signal, port),
    "vm-list": (signal, port) => new VmListStandin().start(signal, port),
};

/** Runs one stand-in until SIGTERM, and prints a JSON line with its URL when it listens. */
export async function standin(args: readonly string[], context: CommandContext): Promise<ExitCode> {
    const { values, positionals } = parseOptions(args, options, usage);
    const kind = positionals[0] ?? "";
    const start = Object.hasOwn(kinds, kind) ? kinds[kind] : undefined;
    if (start === undefined || positionals.length > 1) {
        throw new UsageError(`give one of ${Object.keys(kinds).join(", ")}; usage: ${usage}`);
    }
    const port = readInteger("--port", values.port, maxPort);
    const choice = { models: values.model, name: values.name, seed: readInteger("--seed", values.seed, Number.MAX_SAFE_INTEGER) };
    const url = await start(context.signal, port, choice);
    context.print(JSON.stringify({ kind, url }));
    if (!context.signal.aborted) {
        await once(context.signal, "abort");
    }
    return ExitCode.ok;
}

function readInteger(name: string, text: string, max: number): number {
    const value = Number(text);
    if (!Number.isInteger(value) || value < 0 || value > max) {
        throw new UsageError(`${name} ${text} is not a whole number from 0 to ${max}`);
    }
    return value;
}
