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
import { parseSettings } from "../src/node/settings/parseSettings.js";
import { Settings } from "../src/schema/settings/Settings.js";

function page(name: string): string {
    return readFileSync(new URL(`../docs/operators/${name}.md`, import.meta.url), "utf8");
}

function yamlOf(name: string): string {
    return /```yaml\n(.*?)```/s.exec(page(name))?.[1] ?? "";
}

/** Every key of a schema, dotted; listeners share one description on the page. */
function keysOf(schema: z.ZodType, path = ""): string[] {
    const { def } = schema as unknown as { def: { type: string; innerType?: z.ZodType; shape?: Record<string, z.ZodType>; }; };
    if (def.innerType !== undefined) {
        return keysOf(def.innerType, path);
    }
    const isSecret = path === "peers.key" || path === "operator.token";
    return def.shape === undefined || isSecret
        ? [path]
        : Object.entries(def.shape).flatMap(([key, inner]) => keysOf(inner, path === "" ? key : `${path}.${key}`));
}

test("the settings page describes every key, and its example passes", () => {
    const text = page("settings");
    const keys = keysOf(Settings).filter(key => !key.startsWith("listen."));
    expect(keys.length > 20).toEqual(true);
    expect(keys.filter(key => !text.includes(`\`${key}\``))).toEqual([]);
    expect(parseSettings(yamlOf("settings")).isOk()).toEqual(true);
});

/** Text of the sources that a VM is made of. */
function sources(folder: string): string {
    return readdirSync(folder, { recursive: true, encoding: "utf8" })
        .filter(name => name.endsWith(".ts") && !name.endsWith(".test.ts"))
        .map(name => readFileSync(join(folder, name), "utf8"))
        .join("\n");
}

test("every setting is read by the program", () => {
    const text = ["node", "cli/commands"].map(folder => sources(fileURLToPath(new URL(`../src/${folder}`, import.meta.url)))).join("\n");
    const names = keysOf(Settings).map(key => key.split(".").pop() ?? "");
    expect(names.filter(name => !new RegExp(`[.{ ]${name}\\b`).test(text))).toEqual([]);
});

test("the examples of a change and of a load plan are read as they stand", () => {
    expect(ChangeFile.safeParse(parse(yamlOf("rpc"))).success).toEqual(true);
    expect(LoadPlan.safeParse(parse(yamlOf("cli"))).success).toEqual(true);
});

test("the page of commands names every command and exit code", () => {
    const text = page("cli");
    expect(Object.keys(commandTable).filter(name => !text.includes(`\`${name} `))).toEqual([]);
    expect(Object.values(ExitCode).filter(code => !text.includes(`\n| ${code} |`))).toEqual([]);
});

test("the metrics page names every metric", async () => {
    const names = [...(await new Metrics().render()).matchAll(/^# HELP (\S+)/gm)].map(([, name]) => name);
    expect(names.length > 10).toEqual(true);
    expect(names.filter(name => !page("metrics").includes(`\`${name}\``))).toEqual([]);
});
