import { err, ok, type Result } from "neverthrow";
import { readFileSync } from "node:fs";
import * as z from "zod";
import type { LoadRun } from "./LoadRun.js";
import { LoadRunHeader } from "./LoadRunHeader.js";
import { LoadSample } from "./LoadSample.js";

/** Reads a results file of JSON lines. The error message names the file and says how to create a valid one. */
export function readLoadRun(file: string): Result<LoadRun, string> {
    try {
        const [head, ...samples] = readFileSync(file, "utf8").trim().split("\n").map(line => JSON.parse(line) as unknown);
        const parsed = z.object({ head: LoadRunHeader, samples: z.array(LoadSample) }).safeParse({ head, samples });
        return parsed.success
            ? ok({ name: file, ...parsed.data })
            : err(`${file} is not a results file of a load run; expected a file written by --out`);
    }
    catch (error) {
        return err(`${file} cannot be read: ${(error as Error).message}; expected a file written by --out`);
    }
}
