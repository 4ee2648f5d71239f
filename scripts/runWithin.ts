import { spawn } from "node:child_process";

/** Runs a shell command and discards its output. After `timeoutMs` milliseconds, kills the command and all processes it started. */
export function runWithin(command: string, timeoutMs: number): Promise<"passed" | "failed" | "did not end"> {
    return new Promise(resolve => {
        // A separate process group, so that the command can be killed together with its child processes.
        const child = spawn("bash", ["-c", command], { stdio: "ignore", detached: true });
        let hasTimedOut = false;
        const timer = setTimeout(() => {
            hasTimedOut = true;
            if (child.pid !== undefined) {
                process.kill(-child.pid, "SIGKILL");
            }
        }, timeoutMs);
        child.on("close", code => {
            clearTimeout(timer);
            resolve(hasTimedOut ? "did not end" : code === 0 ? "passed" : "failed");
        });
    });
}
