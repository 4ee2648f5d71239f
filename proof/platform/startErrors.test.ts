import { expect } from "earl";
import { spawnSync } from "node:child_process";
import { test } from "node:test";

function startWith(settingsFile: string | undefined) {
    const env = { ...process.env, ORIOLESHELF_CONFIG: settingsFile };
    const { status, stdout } = spawnSync(process.execPath, ["--import", "tsx", "platform/main.ts"], { env, encoding: "utf8" });
    return { status, last: JSON.parse(stdout.trim().split("\n").at(-1) ?? "") as Record<string, unknown> };
}

test("a VM without settings says which variable is to name them", () => {
    const { status, last } = startWith(undefined);
    expect(status).toEqual(2);
    expect(last["faults"]).toEqual(["ORIOLESHELF_CONFIG is not set; set it to the path of the settings file"]);
});

test("a VM whose settings file is not there names it", () => {
    const { status, last } = startWith("out/no-such-file.conf");
    expect(status).toEqual(2);
    expect(JSON.stringify(last["faults"])).toMatchRegex(/no-such-file\.conf.*check ORIOLESHELF_CONFIG/);
});

test("a VM whose settings lack fields names them", () => {
    const { status, last } = startWith("README.md");
    expect(status).toEqual(2);
    expect(JSON.stringify(last["faults"])).toMatchRegex(/node_name/);
});
