// Configuration and entries of workers, as the operator and the workers write them to the store.

const limits = { header_bytes: 16_384, body_bytes: 4_194_304, header_timeout_ms: 3_000, idle_timeout_ms: 15_000 };

export const key = "xd9dnn2ctnfzs989anu6";
export const tenant = "huka270";

export function createRoute(name, path, kind, service, fields = {}) {
    return {
        name,
        host: "h.example",
        path_prefix: path,
        kind,
        service,
        timeout_ms: 3_000,
        target_latency_ms: 300,
        priority: 1,
        max_attempts: 1,
        ...fields,
    };
}

export function putConfig(store, routes, version = 1) {
    const services = [...new Set(routes.map(({ service }) => service))].map(name => ({ name, health_path: "/health", max_conns: 360 }));
    store.put("keyed.op", "config", { version, routes, services, limits, tenants: [{ name: tenant, api_keys: [key] }] });
}

/** Writes the entry of a worker now and every `heartbeat_ms`; returns a function that ends this. */
export function register(store, worker, service, fields = {}) {
    const born = Date.now();
    let sequence = 0;
    const write = () => {
        sequence++;
        store.put("keyed.servers", worker.id, {
            service,
            address: `127.0.0.1:${worker.port}`,
            zone: "z1",
            version: "v1",
            slots: 64,
            state: "ready",
            cold_left_ms: 0,
            sequence,
            born,
            ...fields,
        });
    };
    write();
    const timer = setInterval(write, 1_200);
    return () => clearInterval(timer);
}

let count = 0;

/** Headers of a request with an id of its own. */
export function requestHeaders(fields = {}) {
    count++;
    return { "X-Attempt-Id": `a${String(count).padStart(6, "0")}`, "X-Deadline-Ms": 3_000, "X-Api-Key": key, ...fields };
}
