import { expect } from "earl";
import { test } from "node:test";
import { ServiceClass } from "./ServiceClass.js";

test("a service class gets default values for omitted keys, and unknown keys are rejected", () => {
    const parsed = ServiceClass.parse({ name: "urgent", tier: 0, firstTokenTargetMs: 450, tokenGapTargetMs: 35 });
    expect(parsed.objective).toEqual(0.95);
    expect(ServiceClass.safeParse({ ...parsed, colour: "red" }).success).toEqual(false);
});
