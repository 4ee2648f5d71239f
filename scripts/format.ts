// Formats the source files according to dprint.json. With --check, lists unformatted files instead and fails if there are any.
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

const isCheckOnly = process.argv.includes("--check");
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
    if (isCheckOnly) {
        console.error(`${file} is not formatted; run npm run format`);
    }
    else {
        writeFileSync(file, formatted);
    }
}
console.log(isCheckOnly ? `${files.length} files checked` : `${unformatted} files formatted`);
process.exitCode = isCheckOnly && unformatted > 0 ? 1 : 0;
