import { expect } from "earl";
import { readFileSync } from "node:fs";
import { describe, test } from "node:test";
import { capacityRows } from "./capacityRows.js";
import { evaluate } from "./evaluate.js";
import { fleetSizes } from "./fleetSizes.js";

const page = readFileSync(new URL("../../docs/CAPACITY.md", import.meta.url), "utf8");
const cells = page.split("\n").filter(line => line.startsWith("| ")).map(line => line.split("|").map(cell => cell.trim()));

describe("docs/CAPACITY.md", () => {
    test("holds exactly the rows and formulas of capacityRows; fails when the page was not rendered again after a change", () => {
        const shown = cells.filter(([, , , formula]) => formula?.startsWith("`")).map(([, role, what, formula]) => [role, what, formula]);
        expect(shown).toEqual(capacityRows.map(({ role, what, formula }) => [role, what, `\`${formula}\``]));
    });

    test("holds the fleet sizes and the values that its formulas give for its quantities; fails on values edited by hand", () => {
        const quantities = new Map(
            cells.filter(([, name]) => name?.startsWith("`")).map(([, name, value]) => [name?.replaceAll("`", "") ?? "", Number(value)]),
        );
        for (const { name, value } of fleetSizes) {
            expect([name, quantities.get(name)]).toEqual([name, value]);
        }
        for (const [, , , formula, value] of cells.filter(([, , , candidate]) => candidate?.startsWith("`"))) {
            const expected = evaluate(formula?.replaceAll("`", "") ?? "", quantities);
            expect(Number(value?.split(" ")[0])).toEqual(Number(expected.toPrecision(3)));
        }
    });
});

test("evaluate throws on a name without a quantity instead of returning NaN, and applies products before sums", () => {
    expect(() => evaluate("2 * nothing", new Map())).toThrow("nothing");
    expect(evaluate("a * 2 / b + 1", new Map([["a", 6], ["b", 4]]))).toEqual(4);
});
