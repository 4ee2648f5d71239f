/** Layer check: imports point downwards only (cli > node > core > schema); the core has no I/O. */

module.exports = {
    forbidden: [
        { name: "no-cycles", severity: "error", from: {}, to: { circular: true, viaOnly: { dependencyTypesNot: ["type-only"] } } },
        { name: "schema-is-lowest", severity: "error", from: { path: "^src/schema" }, to: { path: "^(src/(core|node|cli)|standins|bench|proof)" } },
        { name: "core-below-node", severity: "error", from: { path: "^src/core" }, to: { path: "^(src/(node|cli)|standins|bench|proof)" } },
        { name: "core-without-io", severity: "error", from: { path: "^src/core", pathNot: "\\.test\\.ts$" }, to: { dependencyTypes: ["core"] } },
        { name: "core-without-io-libraries", severity: "error", from: { path: "^src/core" }, to: { path: `node_modules/(undici|ws|hono|@hono|@connectrpc|prom-client|debug|yaml|msgpackr)/` } },
        { name: "node-below-cli", severity: "error", from: { path: "^src/node", pathNot: "\\.test\\.ts$" }, to: { path: "^(src/cli|standins|bench|proof)" } },
        { name: "nothing-needs-the-platform", severity: "error", from: { path: "^(src|standins|bench)", pathNot: "\\.test\\.ts$" }, to: { path: "^platform" } },
        { name: "platform-without-cli", severity: "error", from: { path: "^platform", pathNot: "\\.test\\.ts$" }, to: { path: "^(src/cli|standins|bench|proof)" } },
        { name: "stand-ins-apart", severity: "error", from: { path: "^standins", pathNot: "\\.test\\.ts$" }, to: { path: "^(src/(core|node|cli)|bench|proof)" } },
    ],
    options: { doNotFollow: { path: "node_modules" }, tsConfig: { fileName: "tsconfig.json" }, tsPreCompilationDeps: true },
};
