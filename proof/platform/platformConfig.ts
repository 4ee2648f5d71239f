/** A configuration with one route for calls that may not be repeated. */
export const platformConfig = {
    version: 3,
    routes: [{
        name: "r-book",
        host: "h.example",
        path_prefix: "/book/",
        kind: "non_idempotent",
        timeout_ms: 1_500,
        target_latency_ms: 300,
        priority: 2,
        service: "jobs",
        max_attempts: 1,
    }],
    services: [{ name: "jobs", health_path: "/health", max_conns: 100 }],
    limits: { header_bytes: 16_384, body_bytes: 4_194_304, header_timeout_ms: 3_000, idle_timeout_ms: 15_000 },
    tenants: [{ name: "ana", api_keys: ["key-1"] }],
};
