import { build } from "esbuild";
import { mkdtempSync, rmSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";

let bundle: Promise<string> | undefined;

/** Bundles the program once per test process, so that not every VM compiles its source again; resolves with the path of the bundle. */
export function bundleProgram(): Promise<string> {
    bundle ??= createBundle();
    return bundle;
}

async function createBundle(): Promise<string> {
    const folder = mkdtempSync(join(tmpdir(), "orioleshelf-program-"));
    process.once("exit", () => {
        rmSync(folder, { recursive: true });
    });
    const outfile = join(folder, "orioleshelf.cjs");
    await build({
        entryPoints: ["src/cli/main.ts"],
        bundle: true,
        platform: "node",
        target: "node24",
        format: "cjs",
        outfile,
        keepNames: true,
        external: ["msgpackr-extract", "bufferutil", "utf-8-validate"],
        loader: { ".css": "text" },
        define: { "import.meta.url": "undefined" },
        logLevel: "warning",
    });
    return outfile;
}
