// Installs the dependencies on a fresh clone. Runs on the system's Node.js, because the pinned one is not installed yet.
import { spawnSync } from "node:child_process";
import { existsSync } from "node:fs";

if (!existsSync("node_modules/.package-lock.json")) {
    const result = spawnSync("npm", ["ci", "--no-audit", "--no-fund"], { stdio: "inherit" });
    process.exit(result.status ?? 1);
}
