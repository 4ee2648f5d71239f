import manifest from "../../package.json" with { type: "json" };

/** Version of this program. */
export const version: string = manifest.version;
