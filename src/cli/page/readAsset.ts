import { readFileSync } from "node:fs";
import { createRequire } from "node:module";
import { getAsset, isSea } from "node:sea";

const assetPaths = {
    "page.css": "./assets/page.css",
    "page.js": "./assets/page.js",
    "uPlot.js": "uplot/dist/uPlot.iife.min.js",
    "uPlot.css": "uplot/dist/uPlot.min.css",
};

/** Reads a style sheet or script of HTML pages, from the single executable application or from the source tree. */
export function readAsset(name: keyof typeof assetPaths): string {
    return isSea() ? getAsset(name, "utf8") : readFileSync(createRequire(import.meta.url).resolve(assetPaths[name]), "utf8");
}
