import { expect } from "earl";
import { spawn } from "node:child_process";
import { once } from "node:events";
import { createServer } from "node:net";
import { createInterface } from "node:readline/promises";
import { test } from "node:test";
import { freePort } from "./freePort.js";

const script = 'import("./proof/processes/freePort.ts").then(async ({ freePort }) => { const ports = []; '
    + "for (let count = 0; count < 20; count++) { ports.push(await freePort()); } console.log(JSON.stringify(ports)); "
    + "process.stdin.resume(); });";

test("processes that reserve ports concurrently never get the same port, nor one from the ephemeral range", async () => {
    const children = [1, 2, 3, 4].map(() =>
        spawn(process.execPath, ["--import", "tsx", "-e", script], { stdio: ["pipe", "pipe", "inherit"] })
    );
    const exits = children.map(child => once(child, "exit"));
    const lines = await Promise.all(children.map(child => once(createInterface(child.stdout), "line")));
    // Each process keeps its ports until all have reserved theirs, because they can start seconds apart.
    for (const child of children) {
        child.stdin.end();
    }
    await Promise.all(exits);
    const lists = lines.map(([line]) => JSON.parse(String(line)) as number[]);
    const ports = lists.flat();
    expect(new Set(ports).size).toEqual(80);
    expect(ports.every(port => port < 32_768)).toEqual(true);
});

test("a port on which a process left over from another test run listens is not given out", async context => {
    const leftover = createServer();
    context.after(() => leftover.close());
    const heldPort = await freePort() + 1;
    await once(leftover.listen(heldPort, "127.0.0.1"), "listening");
    expect(await freePort()).not.toEqual(heldPort);
});
