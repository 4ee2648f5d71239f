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

interface StandinOptions {
    readonly models: readonly string[] | undefined;
    readonly name: string | undefined;
    readonly seed: number;
}

type StandinStarter = (signal: AbortSignal, port: number, standinOptions: StandinOptions) => Promise<string>;

/** Start function of each kind of stand-in; resolves with the URL of the stand-in. */
const startersByKind: Readonly<Record<string, StandinStarter>> = {
    "engine": (signal, port, { models, seed }) =>
        new EngineStandin({ seed, ...models === undefined ? {} : { models } }).start(signal, port),
    "service": (signal, port, { name }) => new ServiceStandin(name === undefined ? {} : { name }).start(signal, port),
    "log": async (signal, port) => (await new LogStandin().start(signal, port)).url,
    "weight-store": (signal, port) => new WeightStoreStandin().start(signal, port),
    "vm-list": (signal, port) => new VmListStandin().start(signal, port),
};

/** Runs one stand-in until SIGINT or SIGTERM; prints a JSON line with its URL once it listens. */
export async function standin(args: readonly string[], context: CommandContext): Promise<ExitCode> {
    const { values, positionals } = parseOptions(args, options, usage);
    const kind = positionals[0] ?? "";
    const start = Object.hasOwn(startersByKind, kind) ? startersByKind[kind] : undefined;
    if (start === undefined || positionals.length > 1) {
        throw new UsageError(`expected one of ${Object.keys(startersByKind).join(", ")}; usage: ${usage}`);
    }
    const port = parseInteger("--port", values.port, maxPort);
    const standinOptions = { models: values.model, name: values.name, seed: parseInteger("--seed", values.seed, Number.MAX_SAFE_INTEGER) };
    const url = await start(context.signal, port, standinOptions);
    context.print(JSON.stringify({ kind, url }));
    if (!context.signal.aborted) {
        await once(context.signal, "abort");
    }
    return ExitCode.ok;
}

function parseInteger(name: string, text: string, max: number): number {
    const value = Number(text);
    if (!Number.isInteger(value) || value < 0 || value > max) {
        throw new UsageError(`${name} ${text} is not an integer from 0 to ${max}`);
    }
    return value;
}
