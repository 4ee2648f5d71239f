// Formats the project's source files by dprint.json; with --check it only tells which are not formatted, and fails.
import { createFromBuffer } from "@dprint/formatter";
import { execFileSync } from "node:child_process";
import { existsSync, readFileSync, writeFileSync } from "node:fs";
import { createRequire } from "node:module";

interface FormatterSettings {
    readonly lineWidth: number;
    readonly indentWidth: number;
    readonly useTabs: boolean;
    readonly newLineKind: "lf";
    readonly typescript: Record<string, unknown>;
}

const { lineWidth, indentWidth, useTabs, newLineKind, typescript } = JSON.parse(readFileSync("dprint.json", "utf8")) as FormatterSettings;
const formatter = createFromBuffer(readFileSync(createRequire(import.meta.url).resolve("@dprint/typescript/plugin.wasm")));
formatter.setConfig({ lineWidth, indentWidth, useTabs, newLineKind }, typescript);

const onlyChecks = process.argv.includes("--check");
const listed = execFileSync("git", ["ls-files", "-co", "--exclude-standard", "*.ts", "*.js", "*.mjs"], { encoding: "utf8" });
const files = listed.split("\n").filter(file => file !== "" && !file.includes("/generated/") && existsSync(file));
let unformatted = 0;
for (const file of files) {
    const text = readFileSync(file, "utf8");
    const formatted = formatter.formatText({ filePath: file, fileText: text });
    if (formatted === text) {
        continue;
    }
    unformatted++;
    if (onlyChecks) {
        console.error(`${file} is not formatted; run npm run format`);
    }
    else {
        writeFileSync(file, formatted);
    }
}
console.log(onlyChecks ? `${files.length} files checked` : `${unformatted} files formatted`);
process.exitCode = onlyChecks && unformatted > 0 ? 1 : 0;
