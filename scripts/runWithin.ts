import { spawn } from "node:child_process";

/** Runs a shell command, without its output. At the limit it is ended with all processes that it started. */
export function runWithin(command: string, limitMs: number): Promise<"passed" | "failed" | "did not end"> {
    return new Promise(resolve => {
        // A process group of its own, which can be ended as a whole.
        const child = spawn("bash", ["-c", command], { stdio: "ignore", detached: true });
        let hasTimedOut = false;
        const timer = setTimeout(() => {
            hasTimedOut = true;
            if (child.pid !== undefined) {
                process.kill(-child.pid, "SIGKILL");
            }
        }, limitMs);
        child.on("close", code => {
            clearTimeout(timer);
            resolve(hasTimedOut ? "did not end" : code === 0 ? "passed" : "failed");
        });
    });
}
