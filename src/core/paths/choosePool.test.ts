import { expect } from "earl";
import { test } from "node:test";
import { PathShare } from "../../schema/config/PathShare.js";
import { Pool } from "../../schema/config/Pool.js";
import type { ConfigView } from "../config/ConfigView.js";
import { choosePool } from "./choosePool.js";

const question = { kind: "plain" as const, service: "pedidos-app", serviceClass: "chat", customer: "luthier", key: "k" };

test("a service that only one path has takes that path whatever the share", () => {
    expect(choosePool(viewOf(["old"], 100), question)?.path).toEqual("old");
    expect(choosePool(viewOf(["new"], 0), question)?.path).toEqual("new");
    expect(choosePool(viewOf([], 0), question)).toEqual(undefined);
});

test("with both paths the share decides, and no share means the old path", () => {
    expect(choosePool(viewOf(["old", "new"], 100), question)?.path).toEqual("new");
    expect(choosePool(viewOf(["old", "new"], 0), question)?.path).toEqual("old");
    expect(choosePool(viewOf(["old", "new"], undefined), question)?.path).toEqual("old");
});

test("an engine pool does not serve a plain call of the same name", () => {
    expect(choosePool(viewOf(["old", "new"], 100), { ...question, kind: "engine" })).toEqual(undefined);
});

function viewOf(paths: readonly ("old" | "new")[], newPathPercent: number | undefined): ConfigView {
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
