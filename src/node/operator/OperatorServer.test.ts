import { create } from "@bufbuild/protobuf";
import { type Client, Code, type ConnectError, createClient, type Interceptor } from "@connectrpc/connect";
import { createConnectTransport, createGrpcTransport } from "@connectrpc/connect-node";
import { expect } from "earl";
import { connect } from "node:net";
import { after, beforeEach, test } from "node:test";
import type { ConfigObject } from "../../schema/config/ConfigObject.js";
import {
    ApplyFailureKind,
    ApplyFailureSchema,
    ApplyStatus,
    Kind,
    type Operation,
    OperationSchema,
    OperatorService,
} from "../../schema/generated/orioleshelf/v1/operator_pb.js";
import { objectToProto } from "./objectToProto.js";
import { startTestOperator } from "./testing/startTestOperator.js";
import { testConfigObjects } from "./testing/testConfigObjects.js";

type Protocol = "connect" | "grpc";
let shutdown = new AbortController();
let operator: Awaited<ReturnType<typeof startTestOperator>>;

beforeEach(async () => {
    shutdown.abort();
    shutdown = new AbortController();
    operator = await startTestOperator(shutdown.signal);
});

after(() => {
    shutdown.abort();
});

function createOperatorClient(protocol: Protocol, token = operator.token): Client<typeof OperatorService> {
    const withToken: Interceptor = next => request => {
        request.header.set("authorization", `Bearer ${token}`);
        return next(request);
    };
    const options = { baseUrl: operator.baseUrl, interceptors: [withToken] };
    return createClient(
        OperatorService,
        protocol === "grpc" ? createGrpcTransport(options) : createConnectTransport({ ...options, httpVersion: "1.1" }),
    );
}

function createPut(object: ConfigObject, readRevision?: bigint): Operation {
    return create(OperationSchema, {
        operation: { case: "put", value: objectToProto(object) },
        ...readRevision === undefined ? {} : { readRevision },
    });
}

function postJson(method: string, body: unknown, token = operator.token): Promise<Response> {
    return fetch(`${operator.baseUrl}/orioleshelf.v1.OperatorService/${method}`, {
        method: "POST",
        headers: { "content-type": "application/json", authorization: `Bearer ${token}` },
        body: JSON.stringify(body),
    });
}

async function catchError(promise: Promise<unknown>): Promise<ConnectError> {
    return promise.then(() => {
        throw new Error("expected the call to fail, but it succeeded");
    }, error => error as ConnectError);
}

for (const protocol of ["connect", "grpc"] as const) {
    test(`${protocol}: one change sets pools on both paths, and an object is read back with the change's revision`, async () => {
        const response = await createOperatorClient(protocol).apply({
            author: "test",
            operations: testConfigObjects.map(object => createPut(object)),
        });
        expect(response.status).toEqual(ApplyStatus.ACCEPTED);
        const listed = await createOperatorClient(protocol).list({ kind: Kind.POOL });
        expect(listed.stored.map(stored => stored.object?.object.value?.name)).toEqual(["engines-new", "engines-old"]);
        const oldPool = await createOperatorClient(protocol).get({ kind: Kind.POOL, name: "engines-old" });
        expect(oldPool.stored?.revision).toEqual(response.offset);
    });

    test(`${protocol}: a call with a wrong token is rejected and changes nothing`, async () => {
        const error = await catchError(
            createOperatorClient(protocol, "wrong").apply({ operations: testConfigObjects.map(object => createPut(object)) }),
        );
        expect(error.code).toEqual(Code.Unauthenticated);
        expect(operator.config.view.offset).toEqual(-1);
    });

    test(`${protocol}: watch sends all objects, then each change, and removes its listener when the caller cancels`, async () => {
        const [serviceClass, customer] = testConfigObjects as [ConfigObject, ConfigObject];
        await createOperatorClient(protocol).apply({ operations: [createPut(serviceClass)] });
        const abortController = new AbortController();
        const seen: string[] = [];
        const stream = createOperatorClient(protocol).watch({}, { signal: abortController.signal });
        const ended = catchError((async () => {
            for await (const change of stream) {
                seen.push(
                    ...change.put.map(stored => `put ${stored.object?.object.value?.name}`),
                    ...change.deleted.map(ref => `delete ${ref.name}`),
                );
                if (seen.length === 1) {
                    await createOperatorClient(protocol).apply({ operations: [createPut(customer)] });
                }
                else if (seen.length === 2) {
                    await createOperatorClient(protocol).apply({
                        operations: [
                            create(OperationSchema, { operation: { case: "delete", value: { kind: Kind.CUSTOMER, name: "van" } } }),
                        ],
                    });
                }
                else {
                    abortController.abort();
                }
            }
        })());
        await ended;
        expect(seen).toEqual(["put urgent", "put van", "delete van"]);
        while (operator.config.listenerCount > 0) {
            await new Promise(resolve => setImmediate(resolve));
        }
    });
}

test("an idle watch sends empty heartbeat messages, so that its reader can detect a dead connection", async () => {
    const abortController = new AbortController();
    const seen: number[] = [];
    await catchError((async () => {
        for await (const change of createOperatorClient("connect").watch({}, { signal: abortController.signal })) {
            seen.push(change.put.length + change.deleted.length);
            if (seen.length === 3) {
                abortController.abort();
            }
            operator.scheduler.advance(15_000);
        }
    })());
    expect(seen).toEqual([0, 0, 0]);
});

test("HTTP/JSON: calls made with plain fetch use the same schema and return HTTP status codes for errors", async () => {
    const urgent = { serviceClass: { name: "urgent", tier: 0, firstTokenTargetMs: 450, tokenGapTargetMs: 35 } };
    const applied = await postJson("Apply", { author: "curl", operations: [{ put: urgent }] });
    expect(await applied.json()).toEqual({ status: "APPLY_STATUS_ACCEPTED", offset: "0", pendingZones: [] });
    const got = await postJson("Get", { kind: "KIND_SERVICE_CLASS", name: "urgent" });
    const { stored } = await got.json() as { stored: { object: { serviceClass: Record<string, unknown>; }; }; };
    expect(stored.object.serviceClass["objective"]).toEqual(0.95);
    expect((await postJson("Status", {}, "wrong")).status).toEqual(401);
    expect((await postJson("Get", { kind: "KIND_POOL", name: "none" })).status).toEqual(404);
});

test("HTTP/JSON: the same calls control the old and the new path", async () => {
    const urgent = { name: "urgent", tier: 0, firstTokenTargetMs: 450, tokenGapTargetMs: 35 };
    const poolOn = (path: string) => ({
        name: `engines-${path}`,
        path: `PATH_${path.toUpperCase()}`,
        kind: "UPSTREAM_KIND_ENGINE",
        services: ["model"],
        repeatable: true,
        upstreams: [1, 2].map(number => ({ id: `${path}-${number}`, url: "http://127.0.0.1:1", availabilityZone: "nadi" })),
    });
    const share = { name: "model/urgent", service: "model", serviceClass: "urgent", newPathPercent: 0 };
    const values = [{ serviceClass: urgent }, { pool: poolOn("old") }, { pool: poolOn("new") }, { pathShare: share }];
    expect((await postJson("Apply", { operations: values.map(value => ({ put: value })) })).status).toEqual(200);
    for (const path of ["old", "new"]) {
        const planned = await postJson("PlanUpstreamLeaving", { pool: `engines-${path}`, upstreamId: `${path}-1` });
        expect((await planned.json() as { remainingByZone: unknown; }).remainingByZone).toEqual({ nadi: 1 });
    }
    expect((await postJson("Apply", { operations: [{ put: { pathShare: { ...share, newPathPercent: 30 } } }] })).status).toEqual(200);
    expect(operator.config.view.pathShares.get("model/urgent")?.newPathPercent).toEqual(30);
    const leaving = [...operator.config.view.pools.values()].map(pool => pool.upstreams.map(upstream => upstream.leaving));
    expect(leaving).toEqual([[true, false], [true, false]]);
});

test("an omitted tier is a validation error and does not default to the most urgent tier", async () => {
    const response = await postJson("Apply", {
        operations: [{ put: { serviceClass: { name: "x", firstTokenTargetMs: 1, tokenGapTargetMs: 1 } } }],
    });
    expect(response.status).toEqual(400);
    expect(((await response.json()) as { message: string; }).message).toMatchRegex(/operations\.0\.value\.tier/);
});

test("validation errors of all operations are reported together", async () => {
    const [serviceClass, customer, , , share] = testConfigObjects as [ConfigObject, ConfigObject, ConfigObject, ConfigObject, ConfigObject];
    const malformed = await catchError(
        createOperatorClient("grpc").apply({
            operations: [createPut(serviceClass), create(OperationSchema, {}), create(OperationSchema, {})],
        }),
    );
    const [first] = malformed.findDetails(ApplyFailureSchema);
    expect(first?.kind).toEqual(ApplyFailureKind.INVALID);
    expect(first?.faults.length).toEqual(2);
    const undefinedReferences = await catchError(
        createOperatorClient("grpc").apply({ operations: [createPut(customer), createPut(share)] }),
    );
    expect(undefinedReferences.findDetails(ApplyFailureSchema)[0]?.faults.length).toEqual(3);
    expect(operator.config.view.offset).toEqual(-1);
});

test("a change fails as a conflict when its object was changed after it was read", async () => {
    const [serviceClass] = testConfigObjects as [ConfigObject];
    await createOperatorClient("grpc").apply({ operations: [createPut(serviceClass)] });
    await createOperatorClient("grpc").apply({ operations: [createPut(serviceClass, 0n)] });
    const error = await catchError(createOperatorClient("grpc").apply({ operations: [createPut(serviceClass, 0n)] }));
    expect(error.code).toEqual(Code.Aborted);
    expect(error.findDetails(ApplyFailureSchema)[0]?.kind).toEqual(ApplyFailureKind.CONFLICT);
});

test("pending availability zones, a log outage and an unknown outcome are reported differently", async () => {
    const operations = [createPut(testConfigObjects[0] as ConfigObject)];
    operator.config.pendingZones = ["ba"];
    const pending = await createOperatorClient("connect").apply({ operations });
    expect([pending.status, pending.pendingZones]).toEqual([ApplyStatus.PENDING, ["ba"]]);
    operator.config.nextError = { kind: "not-published", message: "the log is down; apply again later" };
    expect((await catchError(createOperatorClient("connect").apply({ operations }))).code).toEqual(Code.Unavailable);
    operator.config.nextError = { kind: "unknown", message: "the append had no response; read before applying again" };
    expect((await catchError(createOperatorClient("connect").apply({ operations }))).code).toEqual(Code.Unknown);
});

test("a dry run validates a change without publishing it", async () => {
    const response = await createOperatorClient("connect").apply({
        operations: testConfigObjects.map(object => createPut(object)),
        dryRun: true,
    });
    expect(response.status).toEqual(ApplyStatus.CHECKED);
    expect(operator.config.view.offset).toEqual(-1);
});

test("planUpstreamLeaving marks an upstream, counts the remaining ones and retries after a conflict", async () => {
    await createOperatorClient("connect").apply({ operations: testConfigObjects.map(object => createPut(object)) });
    const dryRunResponse = await createOperatorClient("connect").planUpstreamLeaving({
        pool: "engines-old",
        upstreamId: "e1",
        dryRun: true,
    });
    expect(dryRunResponse.servicesWithoutUpstream).toEqual(["model"]);
    operator.config.nextError = { kind: "conflict", message: "the pool has changed; read it again" };
    const planned = await createOperatorClient("connect").planUpstreamLeaving({ pool: "engines-new", upstreamId: "e3", author: "test" });
    expect(planned.remainingByZone).toEqual({ ba: 1 });
    expect(operator.config.view.pools.get("engines-new")?.upstreams.map(upstream => upstream.leaving)).toEqual([false, true]);
    await createOperatorClient("connect").planUpstreamLeaving({ pool: "engines-new", upstreamId: "e3", stay: true });
    expect(operator.config.view.pools.get("engines-new")?.upstreams.map(upstream => upstream.leaving)).toEqual([false, false]);
    expect((await catchError(createOperatorClient("connect").planUpstreamLeaving({ pool: "engines-new", upstreamId: "e9" }))).code).toEqual(
        Code.NotFound,
    );
});

test("a report lists VMs that did not reply, facts of an explanation keep their types, and an empty query is rejected", async () => {
    const report = await createOperatorClient("connect").report({ sinceMs: 1 });
    expect([report.vms, report.silentVms]).toEqual([["nadi-1"], ["ba-1"]]);
    const explained = await createOperatorClient("grpc").explain({ query: { case: "requestId", value: "r1" } });
    const facts = Object.fromEntries(Object.entries(explained.events[0]?.facts ?? {}).map(([name, fact]) => [name, fact.value.value]));
    expect(facts).toEqual({ upstream: "e1", position: 3, isFirst: true });
    expect((await catchError(createOperatorClient("connect").explain({}))).code).toEqual(Code.InvalidArgument);
});

test("probes and metrics are served on the port of the RPC, for GET requests only", async () => {
    const get = async (path: string, method = "GET") => {
        const response = await fetch(`${operator.baseUrl}${path}`, { method });
        return [response.status, await response.text()];
    };
    expect(await get("/metrics")).toEqual([200, "orioleshelf_up 1\n"]);
    expect(await get("/healthz")).toEqual([200, "ok\n"]);
    expect(await get("/readyz")).toEqual([200, "ready\n"]);
    operator.config.isReady = false;
    expect(await get("/readyz")).toEqual([503, "not ready\n"]);
    expect((await get("/other"))[0]).toEqual(404);
    expect((await get("/metrics", "POST"))[0]).toEqual(404);
});

test("invalid bytes close their own connection and leave the server working", async () => {
    const port = Number(new URL(operator.baseUrl).port);
    for (const bytes of ["PRI nonsense", "\0\0\0", "POST / HTTP/1.1\r\n\r\n"]) {
        await new Promise<void>(resolve => {
            const socket = connect(port, "127.0.0.1", () => socket.end(bytes));
            socket.on("error", () => undefined).on("close", () => {
                resolve();
            }).resume();
        });
    }
    expect((await createOperatorClient("grpc").status({})).vm).toEqual("nadi-1");
});
