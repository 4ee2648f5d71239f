// Draws the plots of a page. Runs in the reader's browser, with uPlot loaded before it.
/* global document, window, matchMedia, ResizeObserver, getComputedStyle, uPlot */
(() => {
    const colors = ["#0072b2", "#d55e00", "#009e73", "#cc79a7", "#e69f00", "#56b4e9", "#8a6d3b"];
    const plots = JSON.parse(document.getElementById("plots").textContent);
    const heightPx = 240;
    const leastSpanSeconds = 600;

    const ink = name => getComputedStyle(document.documentElement).getPropertyValue(name).trim();

    function lineOf(line) {
        return {
            label: line.label,
            stroke: colors[line.color % colors.length],
            width: 2,
            dash: line.isDashed ? [6, 4] : undefined,
            spanGaps: true,
            points: { show: line.values.filter(value => value !== undefined && value !== null).length < 40, size: 5 },
            value: (chart, value) => value === null || value === undefined ? "–" : String(Number(value.toPrecision(3))),
        };
    }

    // uPlot gives the axis of a single point years to either side, so the span is taken from the points themselves.
    function timeRange(chart) {
        const [lowSeconds, highSeconds] = [chart.data[0][0], chart.data[0].at(-1)];
        const padSeconds = Math.max(0, (leastSpanSeconds - (highSeconds - lowSeconds)) / 2);
        return [lowSeconds - padSeconds, highSeconds + padSeconds];
    }

    function optionsOf(plot, widthPx) {
        const lines = plot.lines.map(lineOf);
        if (plot.limit) {
            lines.push({ label: plot.limit.label, stroke: ink("--soft"), width: 1, dash: [2, 3], points: { show: false } });
        }
        const axis = { stroke: ink("--soft"), grid: { stroke: ink("--line"), width: 1 }, ticks: { stroke: ink("--line") } };
        const range = (chart, low, high) => {
            const [least, most] = plot.range ?? [0, 0];
            return [Math.min(least, low ?? least), Math.max(most, high ?? most) * 1.02 || 1];
        };
        return {
            width: widthPx,
            height: heightPx,
            scales: { x: plot.axis === "time" ? { time: true, range: timeRange } : { time: false }, y: { range } },
            axes: [{ ...axis, label: plot.axisTitle }, { ...axis, label: plot.unit, size: 64 }],
            series: [{ label: plot.axisTitle }, ...lines],
        };
    }

    function dataOf(plot) {
        const x = plot.axis === "time" ? plot.x.map(atMs => atMs / 1000) : plot.x;
        const data = [x, ...plot.lines.map(line => line.values)];
        return plot.limit ? [...data, x.map(() => plot.limit.value)] : data;
    }

    const charts = new Map();
    function draw(place) {
        const plot = plots[Number(place.dataset.plot)];
        charts.get(place)?.destroy();
        if (plot.x.length === 0 || plot.lines.length === 0) {
            place.textContent = "No data in this span.";
            place.className = "empty";
            return;
        }
        charts.set(place, new uPlot(optionsOf(plot, place.clientWidth), dataOf(plot), place));
    }

    const places = [...document.querySelectorAll("[data-plot]")];
    places.forEach(draw);
    new ResizeObserver(() => places.forEach(place => charts.get(place)?.setSize({ width: place.clientWidth, height: heightPx })))
        .observe(document.querySelector("main"));
    matchMedia("(prefers-color-scheme: dark)").addEventListener("change", () => places.forEach(draw));
    window.addEventListener("beforeprint", () => places.forEach(draw));
    window.addEventListener("afterprint", () => places.forEach(draw));
})();
