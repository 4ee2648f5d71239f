import { expect } from "earl";
import { spawn } from "node:child_process";
import { once } from "node:events";
import { text } from "node:stream/consumers";
import { test } from "node:test";

const script = 'import("./proof/processes/freePort.ts").then(async ({ freePort }) => { const ports = []; '
    + "for (let count = 0; count < 20; count++) { ports.push(await freePort()); } console.log(JSON.stringify(ports)); "
    + "setTimeout(() => undefined, 500); });";

test("processes that choose ports side by side never get the same one, nor one that the system hands out", async () => {
    const lists = await Promise.all([1, 2, 3, 4].map(async () => {
        const child = spawn(process.execPath, ["--import", "tsx", "-e", script], { stdio: ["ignore", "pipe", "inherit"] });
        const [output] = await Promise.all([text(child.stdout), once(child, "exit")]);
        return JSON.parse(output) as number[];
    }));
    const ports = lists.flat();
    expect(new Set(ports).size).toEqual(80);
    expect(ports.every(port => port < 32_768)).toEqual(true);
});
