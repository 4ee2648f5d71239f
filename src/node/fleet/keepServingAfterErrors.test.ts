import { expect } from "earl";
import { EventEmitter } from "node:events";
import { test } from "node:test";
import { keepServingAfterErrors } from "./keepServingAfterErrors.js";

function start() {
    const process = new EventEmitter();
    const clock = { time: 0, nowMs: () => clock.time, wallMs: () => 0 };
    const controller = new AbortController();
    const state = { drains: 0 };
    keepServingAfterErrors({ process, clock, onTooMany: () => state.drains++ }, controller.signal);
    const fail = (error: unknown = new Error("x")) => process.emit("uncaughtException", error);
    return { clock, state, fail, process, controller };
}

test("a VM goes on serving after errors that are few and far between, whatever was thrown", () => {
    const { clock, state, fail } = start();
    for (const error of [...Array(100).keys()].map(index => index % 2 === 0 ? new Error("x") : undefined)) {
        expect(fail(error)).toEqual(true);
        clock.time += 5_000;
    }
    expect(state.drains).toEqual(0);
});

test("a VM with errors in quick succession is drained once", () => {
    const { state, fail } = start();
    for (let count = 0; count < 20; count++) {
        fail();
    }
    expect(state.drains).toEqual(0);
    fail();
    fail();
    expect(state.drains).toEqual(1);
});

test("the handler is removed when the signal aborts", () => {
    const { controller, process } = start();
    controller.abort();
    expect(process.listenerCount("uncaughtException")).toEqual(0);
});
