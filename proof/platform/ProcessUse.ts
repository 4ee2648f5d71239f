import { existsSync, readdirSync, readFileSync, readlinkSync } from "node:fs";

const samplePeriodMs = 20;
const bytesPerMb = 1_000_000;
const bytesPerKib = 1024;

/** Samples the resident memory and the open descriptors of a process, and keeps the largest values. */
export class ProcessUse {
    peakMb = 0;
    peakSockets = 0;
    private readonly timer: NodeJS.Timeout;

    constructor(private readonly pid: number) {
        this.timer = setInterval(() => {
            this.sample();
        }, samplePeriodMs);
    }

    sample(): void {
        if (!existsSync(`/proc/${this.pid}/status`)) {
            return;
        }
        const status = readFileSync(`/proc/${this.pid}/status`, "utf8");
        const residentKib = Number(/VmRSS:\s+(\d+)/.exec(status)?.[1] ?? 0);
        this.peakMb = Math.max(this.peakMb, Math.round(residentKib * bytesPerKib / bytesPerMb));
        this.peakSockets = Math.max(this.peakSockets, this.countSockets());
    }

    stop(): void {
        clearInterval(this.timer);
    }

    private countSockets(): number {
        const folder = `/proc/${this.pid}/fd`;
        return readdirSync(folder).filter(descriptor => {
            try {
                return readlinkSync(`${folder}/${descriptor}`).startsWith("socket:");
            }
            catch {
                // Closed since the folder was read.
                return false;
            }
        }).length;
    }
}
