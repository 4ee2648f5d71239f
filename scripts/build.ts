// Builds a single executable application from the program and the pinned Node.js runtime: dist/orioleshelf, or with `--platform`
// target/orioleshelf, which runs one VM on the users' platform.
import { build } from "esbuild";
import { execFileSync } from "node:child_process";
import { chmodSync, copyFileSync, mkdirSync, rmSync, writeFileSync } from "node:fs";
import { createRequire } from "node:module";
import { runtimeOptions } from "./runtimeOptions.js";

const require = createRequire(import.meta.url);
/** Marker in the runtime binary that postject looks for; defined by Node.js. */
const sentinelFuse = "NODE_SEA_FUSE_fce680ab2cc467b6e072b8b5df1996b2";
const runtime = "node_modules/.bin/node";
const isForPlatform = process.argv.includes("--platform");
const outputFolder = isForPlatform ? "target" : "dist";
const workFolder = `${outputFolder}/work`;
const bundle = `${workFolder}/orioleshelf.cjs`;
const blob = `${workFolder}/orioleshelf.blob`;
const executable = `${outputFolder}/orioleshelf`;

/** Files embedded in the executable, by asset name. */
const assets = {
    "page.css": "src/cli/page/assets/page.css",
    "page.js": "src/cli/page/assets/page.js",
    "uPlot.js": "node_modules/uplot/dist/uPlot.iife.min.js",
    "uPlot.css": "node_modules/uplot/dist/uPlot.min.css",
};

mkdirSync(workFolder, { recursive: true });
await build({
    entryPoints: [isForPlatform ? "platform/main.ts" : "src/cli/main.ts"],
    bundle: true,
    platform: "node",
    target: "node24",
    format: "cjs",
    outfile: bundle,
    minify: true,
    keepNames: true,
    external: ["msgpackr-extract", "bufferutil", "utf-8-validate"],
    loader: { ".css": "text" },
    define: { "import.meta.url": "undefined" },
    ...(isForPlatform ? { alias: { undici: "./scripts/undiciParts.js" } } : {}),
    logLevel: "warning",
});
// No options for the platform: with any, the runtime recompiles its built-in modules at each start.
const options = isForPlatform ? [] : runtimeOptions;
const config = `${workFolder}/sea.json`;
writeFileSync(
    config,
    JSON.stringify({
        main: bundle,
        output: blob,
        disableExperimentalSEAWarning: true,
        useCodeCache: true,
        execArgv: options,
        ...(isForPlatform ? {} : { assets }),
    }),
);
// The runtime accepts a code cache only under the same options that the cache was generated with.
runQuietly([...options, "--experimental-sea-config", config]);

// A running executable cannot be overwritten, but it can be unlinked.
rmSync(executable, { force: true });
copyFileSync(runtime, `${workFolder}/executable`);
chmodSync(`${workFolder}/executable`, 0o755);
const postject = require.resolve("postject/dist/cli.js");
runQuietly([postject, `${workFolder}/executable`, "NODE_SEA_BLOB", blob, "--sentinel-fuse", sentinelFuse]);
copyFileSync(`${workFolder}/executable`, executable);
rmSync(workFolder, { recursive: true });
process.stdout.write(`built ${executable}\n`);

/** Runs a Node.js script with the pinned runtime; its output is shown only if it fails. */
function runQuietly(args: readonly string[]): void {
    execFileSync(runtime, args, { stdio: "pipe" });
}
