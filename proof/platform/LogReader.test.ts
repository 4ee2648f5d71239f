import { expect } from "earl";
import { spawn } from "node:child_process";
import { test } from "node:test";
import { LogReader } from "./LogReader.js";

test("a VM that exits while a line is awaited fails the test with what it wrote, instead of a time-out without a reason", async () => {
    const script = 'console.log(JSON.stringify({ message: "VM failed to start; exiting", reason: "cannot listen for peers" }));';
    const child = spawn(process.execPath, ["-e", script], { stdio: ["ignore", "pipe", "inherit"] });
    const ready = new LogReader(child).waitForLine(line => line["message"] === "ready");
    await expect(ready).toBeRejectedWith("cannot listen for peers");
});
