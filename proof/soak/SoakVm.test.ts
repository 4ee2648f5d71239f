import { spawn } from "node:child_process";
import { once } from "node:events";
import { mkdtempSync, rmSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { createInterface } from "node:readline";
import { test } from "node:test";
import { request } from "undici";
import { waitUntil } from "../processes/waitUntil.js";

const script = `
    const [{ SoakVm }, { takeSoakPorts }, { waitUntil }] = await Promise.all([
        import("./proof/soak/SoakVm.ts"),
        import("./proof/soak/takeSoakPorts.ts"),
        import("./proof/processes/waitUntil.ts"),
    ]);
    const ports = await takeSoakPorts();
    const options = { name: "front-1", availabilityZone: "z1", storeAddress: "127.0.0.1:1", seeds: [], onUnexpectedExit: console.error };
    new SoakVm({ ...options, ports, folder: process.env.SOAK_FOLDER }).start();
    const probeUrl = "http://127.0.0.1:" + ports.probe + "/v1/ready";
    await waitUntil("the VM listens for probes", () => fetch(probeUrl).then(() => true, () => false));
    console.log(probeUrl);
`;

test("a VM does not outlive a soak that is killed, and so does not keep its ports", async context => {
    const folder = mkdtempSync(join(tmpdir(), "soak-vm-"));
    const child = spawn(process.execPath, ["--import", "tsx", "--input-type=module", "-e", script], {
        env: { ...process.env, SOAK_FOLDER: folder },
        stdio: ["ignore", "pipe", "inherit"],
    });
    context.after(() => {
        child.kill("SIGKILL");
        rmSync(folder, { recursive: true });
    });
    const [line] = await once(createInterface({ input: child.stdout }), "line");
    child.kill("SIGKILL");
    await waitUntil("the VM has exited", () => request(String(line)).then(response => response.body.dump().then(() => false), () => true));
});
