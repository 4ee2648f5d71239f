import manifest from "../../package.json" with { type: "json" };

/** Version of the orioleshelf package. */
export const version: string = manifest.version;
