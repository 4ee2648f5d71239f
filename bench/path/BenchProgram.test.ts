import { expect } from "earl";
import { test } from "node:test";
import { BenchProgram } from "./BenchProgram.js";

test("a pending wait for a message rejects when the child process exits without sending it", async () => {
    const program = BenchProgram.start("vmProgram", "not a list of engine URLs", ["--no-such-option"]);
    await expect(program.next("listening")).toBeRejectedWith("vmProgram exited (code 9)");
});

test("a command to a child process that was stopped rejects with its exit", async () => {
    const program = BenchProgram.start("engineProgram", {});
    await program.next("listening");
    program.stop();
    program.stop();
    await expect(program.ask({ type: "reportTokens" }, "tokens")).toBeRejectedWith("engineProgram exited");
});
