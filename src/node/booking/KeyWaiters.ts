import type { Scheduler } from "../../core/util/Scheduler.js";

/** Lets calls wait for a change to their key. */
export class KeyWaiters {
    private readonly waiters = new Map<string, Set<() => void>>();

    constructor(private readonly scheduler: Scheduler) {}

    wake(key: string): void {
        for (const resolve of [...this.waiters.get(key) ?? []]) {
            resolve();
        }
    }

    /** Resolves on `wake(key)`, after `waitMs`, or when `signal` aborts. */
    wait(key: string, waitMs: number, signal: AbortSignal): Promise<void> {
        if (signal.aborted || waitMs <= 0) {
            return Promise.resolve();
        }
        return new Promise(resolve => {
            const finished = new AbortController();
            const finish = () => {
                finished.abort();
                signal.removeEventListener("abort", finish);
                this.removeWaiter(key, finish);
                resolve();
            };
            this.addWaiter(key, finish);
            this.scheduler.after(waitMs, finish, finished.signal);
            signal.addEventListener("abort", finish, { once: true });
        });
    }

    private addWaiter(key: string, waiter: () => void): void {
        const waiters = this.waiters.get(key) ?? new Set();
        waiters.add(waiter);
        this.waiters.set(key, waiters);
    }

    private removeWaiter(key: string, waiter: () => void): void {
        const waiters = this.waiters.get(key);
        waiters?.delete(waiter);
        if (waiters?.size === 0) {
            this.waiters.delete(key);
        }
    }
}
