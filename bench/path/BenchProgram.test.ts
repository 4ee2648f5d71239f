import { expect } from "earl";
import { test } from "node:test";
import { BenchProgram } from "./BenchProgram.js";

test("whoever waits for a program is told when it ends without an answer", async () => {
    const program = BenchProgram.start("vmProgram", "engine URLs come as a list; this text is none", ["--no-such-option"]);
    await expect(program.next("listening")).toBeRejectedWith("vmProgram ended (code 9)");
});

test("a stopped program that is asked again is told as ended", async () => {
    const program = BenchProgram.start("engineProgram", {});
    await program.next("listening");
    program.stop();
    program.stop();
    await expect(program.ask({ type: "reportTokens" }, "tokens")).toBeRejectedWith("engineProgram ended");
});
