import { readFileSync } from "node:fs";
import { createRequire } from "node:module";
import { getAsset, isSea } from "node:sea";

const assets = {
    "page.css": "./assets/page.css",
    "page.js": "./assets/page.js",
    "uPlot.js": "uplot/dist/uPlot.iife.min.js",
    "uPlot.css": "uplot/dist/uPlot.min.css",
};

/** Reads a file that pages are made of: from inside the executable, or from the source tree. */
export function readAsset(name: keyof typeof assets): string {
    return isSea() ? getAsset(name, "utf8") : readFileSync(createRequire(import.meta.url).resolve(assets[name]), "utf8");
}
