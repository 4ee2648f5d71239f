import { expect } from "earl";
import { closeSync, mkdtempSync, openSync, readFileSync, rmSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { test } from "node:test";
import { createLineWriter } from "./createLineWriter.js";

test("flush writes complete lines in order, and a line that exceeds the buffer is dropped and counted", () => {
    const folder = mkdtempSync(join(tmpdir(), "lines-"));
    const file = join(folder, "log");
    const descriptor = openSync(file, "w");
    const writer = createLineWriter(descriptor);
    writer.write("first");
    writer.write("second");
    writer.write("x".repeat(600 * 1024));
    writer.flush();
    const lines = readFileSync(file, "utf8").trimEnd().split("\n");
    closeSync(descriptor);
    rmSync(folder, { recursive: true });
    expect(lines.slice(0, 2)).toEqual(["first", "second"]);
    expect((JSON.parse(lines[2] ?? "") as { count: number; }).count).toEqual(1);
});
