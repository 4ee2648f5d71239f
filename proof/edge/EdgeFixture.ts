import { errAsync, okAsync } from "neverthrow";
import { createHash } from "node:crypto";
import type { ConfigView } from "../../src/core/config/ConfigView.js";
import type { Scheduler } from "../../src/core/util/Scheduler.js";
import type { CallerLimits } from "../../src/node/caller/CallerLimits.js";
import { CallerServer } from "../../src/node/caller/CallerServer.js";
import type { LimitRefusal } from "../../src/node/services/LimitRefusal.js";
import type { RequestSummary } from "../../src/node/services/RequestSummary.js";
import { SystemScheduler } from "../../src/node/timers/SystemScheduler.js";
import { HttpEngineClient } from "../../src/node/upstream/HttpEngineClient.js";
import { HttpPlainClient } from "../../src/node/upstream/HttpPlainClient.js";
import { Customer } from "../../src/schema/config/Customer.js";
import { PathShare } from "../../src/schema/config/PathShare.js";
import { Pool } from "../../src/schema/config/Pool.js";
import { ServiceClass } from "../../src/schema/config/ServiceClass.js";
import type { DecisionEvent } from "../../src/schema/explain/DecisionEvent.js";
import { FakeBookings } from "./FakeBookings.js";
import { FakeDispatch } from "./FakeDispatch.js";

interface EdgeFixtureOptions {
    readonly engineUrls?: readonly string[];
    readonly serviceUrls?: readonly string[];
    readonly pool?: Partial<Pool>;
    readonly newPathPercent?: number;
    readonly callerLimits?: Partial<CallerLimits>;
    /** A virtual scheduler lets the test control when the inactivity time-outs expire. */
    readonly scheduler?: Scheduler;
    readonly tls?: { readonly certificate: string; readonly key: string; };
}

/** One VM's caller API and upstream clients; configuration, dispatch, limits and bookings are fakes. */
export class EdgeFixture {
    readonly key = "sk-test-key-of-the-fixture";
    readonly dispatch: FakeDispatch;
    readonly events: DecisionEvent[] = [];
    readonly ends: RequestSummary[] = [];
    readonly server: CallerServer;
    view: ConfigView;
    limitRefusal: LimitRefusal | undefined;
    serviceUrls: readonly string[];
    private readonly stop = new AbortController();
    private readonly waiters: (() => void)[] = [];
    private requestCount = 0;

    constructor(private readonly options: EdgeFixtureOptions = {}) {
        this.serviceUrls = options.serviceUrls ?? [];
        this.view = createView(this.key, options);
        this.dispatch = new FakeDispatch(() => this.view);
        const scheduler = options.scheduler ?? new SystemScheduler();
        const engines = new HttpEngineClient(scheduler);
        const plain = new HttpPlainClient(scheduler);
        engines.start(this.stop.signal);
        plain.start(this.stop.signal);
        const view = () => this.view;
        this.server = new CallerServer({
            vm: "vm-1",
            availabilityZone: "nadi",
            host: "127.0.0.1",
            port: 0,
            tls: options.tls,
            config: {
                get view() {
                    return view();
                },
                isReady: true,
                onChange: () => undefined,
                apply: () => {
                    throw new Error("EdgeFixture does not support applying configuration");
                },
                findRevision: () => undefined,
            },
            dispatch: this.dispatch,
            limits: { acquire: () => this.limitRefusal === undefined ? okAsync({ end: () => undefined }) : errAsync(this.limitRefusal) },
            bookings: new FakeBookings(),
            engines,
            plain,
            recorder: { record: event => this.events.push(event) },
            observer: {
                requestEnded: end => {
                    this.ends.push(end);
                    this.waiters.splice(0).forEach(resume => resume());
                },
            },
            scheduler,
            isReady: () => true,
            createRequestId: () => `r${this.requestCount++}`,
            callerLimits: options.callerLimits,
        });
    }

    async start(): Promise<string> {
        return (await this.server.start(this.stop.signal))._unsafeUnwrap();
    }

    /** Replaces the upstreams of the plain services. */
    setServiceUrls(serviceUrls: readonly string[]): void {
        this.serviceUrls = serviceUrls;
        this.view = createView(this.key, { ...this.options, serviceUrls });
    }

    close(): void {
        this.stop.abort();
    }

    /** Resolves with the summaries of all ended requests once at least `count` requests have ended. */
    async waitForEnded(count: number): Promise<readonly RequestSummary[]> {
        while (this.ends.length < count) {
            await new Promise<void>(resolve => this.waiters.push(resolve));
        }
        return this.ends;
    }

    get headers(): Record<string, string> {
        return { "authorization": `Bearer ${this.key}`, "content-type": "application/json" };
    }
}

function createView(key: string, options: EdgeFixtureOptions): ConfigView {
    const classes = [
        ServiceClass.parse({ name: "urgent", tier: 0, firstTokenTargetMs: 450, tokenGapTargetMs: 35 }),
        ServiceClass.parse({ name: "manual", tier: 3, firstTokenTargetMs: 5_000, tokenGapTargetMs: 100 }),
    ];
    const customer = Customer.parse({
        name: "viti-levu-vans",
        keyHashes: [createHash("sha256").update(key).digest("hex")],
        classes: ["urgent"],
        defaultClass: "urgent",
    });
    const pools = [
        Pool.parse({
            name: "engines",
            path: "new",
            kind: "engine",
            services: ["pumpline-model"],
            upstreams: createUpstreams("engine", options.engineUrls ?? []),
            repeatable: true,
            ...options.pool,
        }),
        Pool.parse({
            name: "jobs",
            path: "new",
            kind: "plain",
            services: ["pumpline-jobs"],
            upstreams: createUpstreams("job", options.serviceUrls ?? []),
            repeatable: false,
        }),
        Pool.parse({
            name: "stock",
            path: "new",
            kind: "plain",
            services: ["stock"],
            upstreams: createUpstreams("stock", options.serviceUrls ?? []),
            repeatable: true,
        }),
    ];
    const share = PathShare.parse({
        name: "pumpline-model/urgent",
        service: "pumpline-model",
        serviceClass: "urgent",
        newPathPercent: options.newPathPercent ?? 100,
    });
    return {
        offset: 1,
        serviceClasses: new Map(classes.map(serviceClass => [serviceClass.name, serviceClass])),
        customers: new Map([[customer.name, customer]]),
        pools: new Map(pools.map(pool => [pool.name, pool])),
        pathShares: new Map([[share.name, share]]),
    };
}

function createUpstreams(prefix: string, urls: readonly string[]): { id: string; url: string; availabilityZone: string; }[] {
    return urls.map((url, index) => ({ id: `${prefix}-${index + 1}`, url, availabilityZone: "nadi" }));
}
