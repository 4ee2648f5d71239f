import { capacityRows } from "./capacityRows.js";
import { evaluate } from "./evaluate.js";
import { fleetSizes } from "./fleetSizes.js";
import type { Quantity } from "./Quantity.js";

/** Renders the tables of docs/CAPACITY.md as Markdown: the quantities, and the evaluated rows of each role. */
export function renderTables(slopes: readonly Quantity[]): string {
    const quantities = new Map([...fleetSizes, ...slopes].map(({ name, value }) => [name, value]));
    const quantityLines = [...fleetSizes, ...slopes].map(({ name, value, unit, source }) =>
        `| \`${name}\` | ${value} | ${unit} | ${source} |`
    );
    const rowLines = capacityRows.map(({ role, what, formula, unit, mechanism }) =>
        `| ${role} | ${what} | \`${formula}\` | ${roundToThreeDigits(evaluate(formula, quantities))} ${unit} | ${mechanism} |`
    );
    return [
        "| quantity | value | unit | source |",
        "| --- | --- | --- | --- |",
        ...quantityLines,
        "",
        "| role | what | formula | value | mechanism |",
        "| --- | --- | --- | --- | --- |",
        ...rowLines,
    ].join("\n");
}

function roundToThreeDigits(value: number): string {
    return String(Number(value.toPrecision(3)));
}
