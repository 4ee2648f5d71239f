import { escapeHtml } from "./escapeHtml.js";
import type { PageModel } from "./PageModel.js";
import { readAsset } from "./readAsset.js";

type Section = PageModel["sections"][number];
type Table = Section["tables"][number];

/** Renders a self-contained HTML page: tables are plain HTML, plots are drawn by the inlined script. */
export function renderPage(model: PageModel): string {
    const plots = model.sections.flatMap(section => section.plots);
    const plotIndexes = new Map(plots.map((plot, index) => [plot, index]));
    return [
        "<!doctype html>",
        '<html lang="en"><head><meta charset="utf-8">',
        '<meta name="viewport" content="width=device-width, initial-scale=1"><meta name="color-scheme" content="light dark">',
        `<title>${escapeHtml(model.title)}</title>`,
        `<style>${readAsset("uPlot.css")}\n${readAsset("page.css")}</style></head><body><main>`,
        `<header><h1>${escapeHtml(model.title)}</h1><p>${escapeHtml(model.subtitle)}</p></header>`,
        ...model.notes.map(note => `<p class="note">${escapeHtml(note)}</p>`),
        ...model.sections.map(section => renderSection(section, plot => plotIndexes.get(plot) ?? 0)),
        `</main><script type="application/json" id="plots">${JSON.stringify(plots).replaceAll("<", "\\u003c")}</script>`,
        `<script>${readAsset("uPlot.js")}</script><script>${readAsset("page.js")}</script></body></html>`,
    ].join("\n");
}

function renderSection(section: Section, findPlotIndex: (plot: Section["plots"][number]) => number): string {
    return [
        `<section><h2>${escapeHtml(section.title)}</h2><p>${escapeHtml(section.text)}</p>`,
        ...section.tables.map(renderTable),
        ...section.plots.map(plot =>
            `<figure><figcaption>${escapeHtml(plot.title)}</figcaption><div data-plot="${findPlotIndex(plot)}"></div></figure>`
        ),
        "</section>",
    ].join("\n");
}

function renderTable(table: Table): string {
    const head = table.head.map(text => `<th scope="col">${escapeHtml(text)}</th>`).join("");
    const rows = table.rows.map(row =>
        `<tr>${row.map(({ text, mark }) => `<td${mark === undefined ? "" : ` class="${mark}"`}>${escapeHtml(text)}</td>`).join("")}</tr>`
    );
    return `<div class="scroll"><table><thead><tr>${head}</tr></thead><tbody>${rows.join("\n")}</tbody></table></div>`;
}
