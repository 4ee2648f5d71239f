import { expect } from "earl";
import { readdirSync, readFileSync } from "node:fs";
import { join } from "node:path";
import { test } from "node:test";
import { fileURLToPath } from "node:url";
import { parse } from "yaml";
import type * as z from "zod";
import { ChangeFile } from "../src/cli/ChangeFile.js";
import { commandTable } from "../src/cli/commandTable.js";
import { ExitCode } from "../src/cli/ExitCode.js";
import { LoadPlan } from "../src/load/LoadPlan.js";
import { Metrics } from "../src/node/metrics/Metrics.js";
import { RelayMetrics } from "../src/node/relay/RelayMetrics.js";
import { parseSettings } from "../src/node/settings/parseSettings.js";
import { Settings } from "../src/schema/settings/Settings.js";

function readPage(name: string): string {
    return readFileSync(new URL(`../docs/operators/${name}.md`, import.meta.url), "utf8");
}

function readYamlExample(name: string): string {
    return /```yaml\n(.*?)```/s.exec(readPage(name))?.[1] ?? "";
}

/** Lists every key of a schema as a dotted path; a secret counts as one key. */
function listKeys(schema: z.ZodType, path = ""): string[] {
    const { def } = schema as unknown as { def: { type: string; innerType?: z.ZodType; shape?: Record<string, z.ZodType>; }; };
    if (def.innerType !== undefined) {
        return listKeys(def.innerType, path);
    }
    const isSecret = path === "peers.key" || path === "operator.token";
    return def.shape === undefined || isSecret
        ? [path]
        : Object.entries(def.shape).flatMap(([key, inner]) => listKeys(inner, path === "" ? key : `${path}.${key}`));
}

test("the settings page describes every key, and its example is valid", () => {
    const text = readPage("settings");
    // The listeners share one description on the page.
    const keys = listKeys(Settings).filter(key => !key.startsWith("listen."));
    expect(keys.length > 20).toEqual(true);
    expect(keys.filter(key => !text.includes(`\`${key}\``))).toEqual([]);
    expect(parseSettings(readYamlExample("settings")).isOk()).toEqual(true);
});

/** Returns the text of all source files of a folder, without tests. */
function readSources(folder: string): string {
    return readdirSync(folder, { recursive: true, encoding: "utf8" })
        .filter(name => name.endsWith(".ts") && !name.endsWith(".test.ts"))
        .map(name => readFileSync(join(folder, name), "utf8"))
        .join("\n");
}

test("every setting is used in the source code", () => {
    const text = ["node", "cli/commands"].map(folder => readSources(fileURLToPath(new URL(`../src/${folder}`, import.meta.url)))).join(
        "\n",
    );
    const names = listKeys(Settings).map(key => key.split(".").pop() ?? "");
    expect(names.filter(name => !new RegExp(`[.{ ]${name}\\b`).test(text))).toEqual([]);
});

test("the documented examples of a change file and a load plan are valid", () => {
    expect(ChangeFile.safeParse(parse(readYamlExample("rpc"))).success).toEqual(true);
    expect(LoadPlan.safeParse(parse(readYamlExample("cli"))).success).toEqual(true);
});

test("the command-line page names every command and exit code", () => {
    const text = readPage("cli");
    expect(Object.keys(commandTable).filter(name => !text.includes(`\`${name} `))).toEqual([]);
    expect(Object.values(ExitCode).filter(code => !text.includes(`\n| ${code} |`))).toEqual([]);
});

test("the metrics page names every metric", async () => {
    const metrics = new Metrics();
    new RelayMetrics(metrics, () => undefined);
    const names = [...(await metrics.render()).matchAll(/^# HELP (\S+)/gm)].map(([, name]) => name);
    expect(names.length > 10).toEqual(true);
    expect(names.filter(name => !readPage("metrics").includes(`\`${name}\``))).toEqual([]);
});
