/** A configuration like that of a small site: bookings that may run once, and look-ups that may be repeated. */
export function createConfig({ version = 1, limits = {} } = {}) {
    const route = {
        host: "desk.example",
        timeout_ms: 1_500,
        target_latency_ms: 300,
        priority: 2,
        service: "jobs",
        public: false,
        sticky: false,
        resumable: false,
    };
    return JSON.stringify({
        version,
        routes: [
            { ...route, name: "booking", path_prefix: "/book/", kind: "non_idempotent", max_attempts: 1 },
            { ...route, name: "status", path_prefix: "/status/", kind: "idempotent", max_attempts: 2 },
        ],
        services: [{ name: "jobs", health_path: "/health", max_conns: 100, protocol: "h1", tls: false }],
        limits: { header_bytes: 16_384, body_bytes: 4_194_304, header_timeout_ms: 3_000, idle_timeout_ms: 15_000, ...limits },
        tenants: [{ name: "tenant-a", api_keys: ["key-a"] }],
    });
}
