import { EngineStandin } from "../../standins/engine/EngineStandin.js";
import type { EngineStandinOptions } from "../../standins/engine/EngineStandinOptions.js";
import type { BenchMessage } from "./BenchMessage.js";

/** Runs an engine stand-in as a child process; the first argument holds its options as JSON. */
const options = JSON.parse(process.argv[2] ?? "{}") as Partial<EngineStandinOptions>;
const url = await new EngineStandin(options).start(new AbortController().signal);
process.send?.({ type: "listening", url } satisfies BenchMessage);
process.on("disconnect", () => process.exit(0));
