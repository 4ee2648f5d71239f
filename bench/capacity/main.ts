// `npm run bench:capacity`: measures the costs per unit, evaluates the capacity table and writes it into docs/CAPACITY.md.
import { readFileSync, writeFileSync } from "node:fs";
import { measureSlopes } from "./measureSlopes.js";
import { pageMarkers } from "./pageMarkers.js";
import { renderTables } from "./renderTables.js";

const page = new URL("../../docs/CAPACITY.md", import.meta.url);
const slopes = await measureSlopes();
for (const slope of slopes) {
    console.log(JSON.stringify({ benchmark: "capacity", ...slope }));
}
const text = readFileSync(page, "utf8");
const start = text.indexOf(pageMarkers.start);
const end = text.indexOf(pageMarkers.end);
if (start < 0 || end < start) {
    throw new Error(
        `docs/CAPACITY.md lacks the marker lines "${pageMarkers.start}" and "${pageMarkers.end}" in this order; restore them, the page was not written`,
    );
}
writeFileSync(page, `${text.slice(0, start + pageMarkers.start.length)}\n\n${renderTables(slopes)}\n\n${text.slice(end)}`);
