// The platform's limit on memory: a process that exceeds the memory of its machine is killed, and started again after a short delay.
import { readFileSync } from "node:fs";
import { setTimeout as sleep } from "node:timers/promises";

/** Memory that only this process has, without the pages of its program file: less than what the platform would count. */
function readMemoryMb(pid) {
    try {
        return Number(/RssAnon:\s+(\d+) kB/.exec(readFileSync(`/proc/${pid}/status`, "utf8"))?.[1] ?? 0) * 1_024 / 1_000_000;
    }
    catch {
        return 0;
    }
}

/** Watches the processes of machines until `stop` is called, and counts in `ends` and `peakMb` of each how it went. */
export function limitMemory(machines, memoryMb, record) {
    let isOver = false;
    const watchers = machines.map(async machine => {
        machine.ends = 0;
        machine.peakMb = 0;
        while (!isOver) {
            const usedMb = readMemoryMb(machine.child.pid);
            machine.peakMb = Math.max(machine.peakMb, usedMb);
            if (usedMb > memoryMb) {
                machine.child.kill("SIGKILL");
            }
            if (usedMb > memoryMb || machine.child.exitCode !== null) {
                await machine.exited;
                machine.ends++;
                record.add(`${machine.name} has ended: ${usedMb.toFixed(0)} MB of ${memoryMb} MB`);
                await sleep(500);
                machine.start();
            }
            await sleep(50);
        }
    });
    return {
        async stop() {
            isOver = true;
            await Promise.all(watchers);
            for (const { name, ends, peakMb } of machines) {
                record.add(`${name}: ended ${ends} times, ${peakMb.toFixed(0)} MB at its peak, limit ${memoryMb} MB`);
            }
        },
    };
}
