import { expect } from "earl";
import { spawn } from "node:child_process";
import { once } from "node:events";
import { createInterface } from "node:readline";
import { test } from "node:test";
import { request } from "undici";
import { waitUntil } from "./waitUntil.js";

const script = 'import("./proof/processes/ProcessFleet.ts").then(({ ProcessFleet }) => ProcessFleet.start()).then(({ vms }) => '
    + "console.log(JSON.stringify(vms.map(vm => vm.callerUrl))));";

test("VMs do not outlive a test process that is killed, and so do not keep its ports", async context => {
    const child = spawn(process.execPath, ["--import", "tsx", "-e", script], { stdio: ["ignore", "pipe", "inherit"] });
    context.after(() => child.kill("SIGKILL"));
    const [line] = await once(createInterface({ input: child.stdout }), "line");
    const callerUrls = JSON.parse(String(line)) as string[];
    expect(callerUrls.length).toEqual(3);
    child.kill("SIGKILL");
    const isRefused = (url: string) => request(`${url}/readyz`).then(response => response.body.dump().then(() => false), () => true);
    await waitUntil("all VMs have exited", async () => (await Promise.all(callerUrls.map(isRefused))).every(Boolean));
});
