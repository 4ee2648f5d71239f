import { expect } from "earl";
import { test } from "node:test";
import { PathShare } from "../../schema/config/PathShare.js";
import { Pool } from "../../schema/config/Pool.js";
import type { ConfigView } from "../config/ConfigView.js";
import { choosePool } from "./choosePool.js";

const query = { kind: "plain" as const, service: "pedidos-app", serviceClass: "chat", customer: "luthier", key: "k" };

test("a service with a pool on only one path takes that path, whatever the path share", () => {
    expect(choosePool(createView(["old"], 100), query)?.path).toEqual("old");
    expect(choosePool(createView(["new"], 0), query)?.path).toEqual("new");
    expect(choosePool(createView([], 0), query)).toEqual(undefined);
});

test("with pools on both paths the path share decides, and without a path share the old path is taken", () => {
    expect(choosePool(createView(["old", "new"], 100), query)?.path).toEqual("new");
    expect(choosePool(createView(["old", "new"], 0), query)?.path).toEqual("old");
    expect(choosePool(createView(["old", "new"], undefined), query)?.path).toEqual("old");
});

test("a plain pool does not serve an engine request for a service of the same name", () => {
    expect(choosePool(createView(["old", "new"], 100), { ...query, kind: "engine" })).toEqual(undefined);
});

function createView(paths: readonly ("old" | "new")[], newPathPercent: number | undefined): ConfigView {
    const pools = paths.map(path =>
        Pool.parse({ name: `orders-${path}`, path, kind: "plain", services: ["pedidos-app"], upstreams: [], repeatable: false })
    );
    const shares = newPathPercent === undefined
        ? []
        : [PathShare.parse({ name: "pedidos-app/chat", service: "pedidos-app", serviceClass: "chat", newPathPercent })];
    return {
        offset: 0,
        serviceClasses: new Map(),
        customers: new Map(),
        pools: new Map(pools.map(pool => [pool.name, pool])),
        pathShares: new Map(shares.map(share => [share.name, share])),
    };
}
