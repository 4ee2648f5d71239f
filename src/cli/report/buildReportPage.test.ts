import { expect } from "earl";
import { test } from "node:test";
import { createContext, runInContext } from "node:vm";
import { aggregateServiceLevels } from "../../core/servicelevel/aggregateServiceLevels.js";
import { CellTable } from "../../core/servicelevel/CellTable.js";
import type { ServiceLevelReport } from "../../schema/report/ServiceLevelReport.js";
import { readAsset } from "../page/readAsset.js";
import { renderPage } from "../page/renderPage.js";
import { buildReportPage } from "./buildReportPage.js";
import { formatReport } from "./formatReport.js";

const minuteMs = 60_000;
const nowMs = 1_764_828_000_000;

async function createExampleReport(className: string): Promise<ServiceLevelReport> {
    const intervals = [0, 1, 2].map(age => {
        const table = new CellTable();
        for (const path of ["old", "new"] as const) {
            for (let index = 0; index < 20; index++) {
                const isGood = path === "new" || index > age;
                const sample = {
                    status: 200,
                    errorCode: undefined,
                    queueMs: 5 * index,
                    firstTokenMs: 100 + index,
                    meanTokenGapMs: 12,
                    totalMs: 900,
                    tokens: 100,
                    wastedTokens: 1,
                    isComplete: true,
                    isAbandoned: false,
                };
                table.getOrCreateCell(className, path).add(sample, isGood ? { kind: "good" } : { kind: "bad", reason: "first-token" });
            }
        }
        return { startAtMs: nowMs - age * minuteMs, durationMs: minuteMs, cells: table.toCells() };
    });
    const span = { sinceAtMs: nowMs - 60 * minuteMs, nowMs };
    const levels = await aggregateServiceLevels(intervals, span, () => 0.95, () => Promise.resolve());
    return { generatedAtMs: nowMs, sinceAtMs: span.sinceAtMs, vms: ["nadi-1"], silentVms: ["ba-1"], levels, logRead: false };
}

test("the table has attainment, budget, miss reasons and warnings about missing counts", async () => {
    const lines = formatReport(await createExampleReport("urgent"));
    expect(lines.some(line => /^urgent\/old .*90\.00%.*-100%/.test(line))).toEqual(true);
    expect(lines.some(line => /urgent\/old: first-token 6/.test(line))).toEqual(true);
    expect(lines.some(line => line.includes("No answer from ba-1"))).toEqual(true);
    expect(lines.some(line => line.includes("log could not be read"))).toEqual(true);
});

test("the page loads no external resources and escapes class names", async () => {
    const html = renderPage(buildReportPage(await createExampleReport("</script><b>")));
    expect(/(src|href)=/.test(html)).toEqual(false);
    expect(html.includes("</script><b>")).toEqual(false);
    expect(html.includes("&lt;/script&gt;&lt;b&gt; / old")).toEqual(true);
    expect(html.match(/<script/g)?.length).toEqual(3);
});

/** Runs the script of the page with a stub of the browser objects that it uses; returns the arguments of each uPlot chart. */
function drawPlots(html: string): { options: { series: unknown[]; }; data: unknown[][]; }[] {
    const drawn: { options: { series: unknown[]; }; data: unknown[][]; }[] = [];
    const containers = [...html.matchAll(/data-plot="(\d+)"/g)].map(([, index]) => ({
        dataset: { plot: index },
        clientWidth: 300,
        textContent: "",
    }));
    const json = /id="plots">(.*?)<\/script>/s.exec(html)?.[1];
    const eventTarget = { addEventListener: () => undefined };
    const context = createContext({
        document: {
            documentElement: {},
            getElementById: () => ({ textContent: json }),
            querySelectorAll: () => containers,
            querySelector: () => ({}),
        },
        window: eventTarget,
        matchMedia: () => eventTarget,
        getComputedStyle: () => ({ getPropertyValue: () => " #000" }),
        ResizeObserver: class {
            observe() {
                return undefined;
            }
        },
        uPlot: class {
            constructor(options: { series: unknown[]; }, data: unknown[][]) {
                drawn.push({ options, data });
            }
        },
    });
    runInContext(readAsset("page.js"), context);
    return drawn;
}

test("every plot is drawn with one series for each line, all of the same length", async () => {
    const drawn = drawPlots(renderPage(buildReportPage(await createExampleReport("urgent"))));
    expect(drawn.length).toEqual(6);
    for (const { options, data } of drawn) {
        expect(options.series.length).toEqual(data.length);
        expect(new Set(data.map(values => values.length))).toEqual(new Set([3]));
    }
    expect(drawPlots(renderPage(buildReportPage({ ...await createExampleReport("urgent"), levels: [] }))).length).toEqual(0);
});
