// Draws the plots of a page. Runs in the browser, after the script of uPlot.
/* global document, window, matchMedia, ResizeObserver, getComputedStyle, uPlot */
(() => {
    const colors = ["#0072b2", "#d55e00", "#009e73", "#cc79a7", "#e69f00", "#56b4e9", "#8a6d3b"];
    const plots = JSON.parse(document.getElementById("plots").textContent);
    const heightPx = 240;
    const minTimeRangeSeconds = 600;

    const readStyleVariable = name => getComputedStyle(document.documentElement).getPropertyValue(name).trim();

    function createSeries(line) {
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

    // For a single point uPlot extends the time axis by years to either side, so the range is calculated from the points.
    function computeTimeRange(chart) {
        const [lowSeconds, highSeconds] = [chart.data[0][0], chart.data[0].at(-1)];
        const padSeconds = Math.max(0, (minTimeRangeSeconds - (highSeconds - lowSeconds)) / 2);
        return [lowSeconds - padSeconds, highSeconds + padSeconds];
    }

    function createChartOptions(plot, widthPx) {
        const lines = plot.lines.map(createSeries);
        if (plot.limit) {
            lines.push({ label: plot.limit.label, stroke: readStyleVariable("--soft"), width: 1, dash: [2, 3], points: { show: false } });
        }
        const axis = {
            stroke: readStyleVariable("--soft"),
            grid: { stroke: readStyleVariable("--line"), width: 1 },
            ticks: { stroke: readStyleVariable("--line") },
        };
        const range = (chart, low, high) => {
            const [rangeMin, rangeMax] = plot.range ?? [0, 0];
            // Leaves 2% of headroom above the highest value; the upper limit is 1 if that value is 0.
            return [Math.min(rangeMin, low ?? rangeMin), Math.max(rangeMax, high ?? rangeMax) * 1.02 || 1];
        };
        return {
            width: widthPx,
            height: heightPx,
            scales: { x: plot.axis === "time" ? { time: true, range: computeTimeRange } : { time: false }, y: { range } },
            axes: [{ ...axis, label: plot.axisTitle }, { ...axis, label: plot.unit, size: 64 }],
            series: [{ label: plot.axisTitle }, ...lines],
        };
    }

    function createChartData(plot) {
        const x = plot.axis === "time" ? plot.x.map(atMs => atMs / 1000) : plot.x;
        const data = [x, ...plot.lines.map(line => line.values)];
        return plot.limit ? [...data, x.map(() => plot.limit.value)] : data;
    }

    const charts = new Map();
    function draw(container) {
        const plot = plots[Number(container.dataset.plot)];
        charts.get(container)?.destroy();
        if (plot.x.length === 0 || plot.lines.length === 0) {
            container.textContent = "No data in this time range.";
            container.className = "empty";
            return;
        }
        charts.set(container, new uPlot(createChartOptions(plot, container.clientWidth), createChartData(plot), container));
    }

    const containers = [...document.querySelectorAll("[data-plot]")];
    containers.forEach(draw);
    new ResizeObserver(() =>
        containers.forEach(container => charts.get(container)?.setSize({ width: container.clientWidth, height: heightPx }))
    )
        .observe(document.querySelector("main"));
    matchMedia("(prefers-color-scheme: dark)").addEventListener("change", () => containers.forEach(draw));
    window.addEventListener("beforeprint", () => containers.forEach(draw));
    window.addEventListener("afterprint", () => containers.forEach(draw));
})();
