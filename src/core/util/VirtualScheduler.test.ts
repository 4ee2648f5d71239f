import { expect } from "earl";
import { test } from "node:test";
import { VirtualScheduler } from "./VirtualScheduler.js";

test("timers fire in the order of their due times, and not after their signal has aborted", () => {
    const scheduler = new VirtualScheduler();
    const controller = new AbortController();
    const fired: string[] = [];
    scheduler.after(20, () => fired.push("late"), new AbortController().signal);
    scheduler.after(10, () => fired.push("early"), new AbortController().signal);
    scheduler.after(15, () => fired.push("aborted"), controller.signal);
    controller.abort();
    scheduler.advance(30);
    expect(fired).toEqual(["early", "late"]);
    expect(scheduler.nowMs()).toEqual(30);
});
