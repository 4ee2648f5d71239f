import { expect } from "earl";
import { spawn } from "node:child_process";
import { once } from "node:events";
import { createInterface } from "node:readline";
import { test } from "node:test";
import { request } from "undici";
import * as z from "zod";

const UpstreamAddress = z.strictObject({ id: z.string(), url: z.url() });
const HoldOutput = z.strictObject({
    vms: z.array(z.strictObject({ id: z.string(), availabilityZone: z.string(), callerUrl: z.url(), operatorUrl: z.url() })).length(3),
    customers: z.array(z.strictObject({ id: z.string(), key: z.string(), classes: z.array(z.string()).min(1) })).min(1),
    operatorToken: z.string().min(16),
    services: z.strictObject({ bookings: z.array(z.string()).min(1), models: z.array(z.string()).min(1) }),
    standins: z.strictObject({
        log: z.url(),
        vmList: z.url(),
        weightStore: z.url(),
        engines: z.array(UpstreamAddress).min(1),
        services: z.array(UpstreamAddress).min(1),
    }),
});

test("quickstart --hold --json prints all addresses, serves calls on every VM, and exits with 0 on SIGTERM", async context => {
    const child = spawn(process.execPath, ["--import", "tsx", "src/cli/main.ts", "quickstart", "--hold", "--json"], {
        stdio: ["ignore", "pipe", "inherit"],
    });
    context.after(() => child.kill("SIGKILL"));
    const exited = once(child, "exit");
    const [line] = await once(createInterface({ input: child.stdout }), "line");
    const { vms, customers, services } = HoldOutput.parse(JSON.parse(String(line)));
    for (const { callerUrl } of vms) {
        const response = await request(`${callerUrl}/v1/chat/completions`, {
            method: "POST",
            headers: { "authorization": `Bearer ${customers[0]?.key}`, "content-type": "application/json" },
            body: JSON.stringify({ model: services.models[0], max_tokens: 3, messages: [{ role: "user", content: "hold" }] }),
        });
        await response.body.dump();
        expect(response.statusCode).toEqual(200);
    }
    child.kill("SIGTERM");
    expect((await exited)[0]).toEqual(0);
});
