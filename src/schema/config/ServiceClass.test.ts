import { expect } from "earl";
import { test } from "node:test";
import { ServiceClass } from "./ServiceClass.js";

test("ServiceClass fills in defaults and rejects unknown keys", () => {
    const parsed = ServiceClass.parse({ name: "urgent", tier: 0, firstTokenTargetMs: 450, tokenGapTargetMs: 35 });
    expect(parsed.objective).toEqual(0.95);
    expect(ServiceClass.safeParse({ ...parsed, colour: "red" }).success).toEqual(false);
});
