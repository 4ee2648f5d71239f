import { create } from "@bufbuild/protobuf";
import type { ConfigView } from "../../core/config/ConfigView.js";
import type { Scheduler } from "../../core/util/Scheduler.js";
import type { ConfigKind } from "../../schema/config/ConfigKind.js";
import type { ConfigObject } from "../../schema/config/ConfigObject.js";
import { ObjectRefSchema, type WatchResponse, WatchResponseSchema } from "../../schema/generated/orioleshelf/v1/operator_pb.js";
import type { ConfigService } from "../services/ConfigService.js";
import { kindConversion } from "./kindConversion.js";
import { listConfigObjects } from "./listConfigObjects.js";
import { storedObjectToProto } from "./storedObjectToProto.js";

const heartbeatIntervalMs = 15_000;

/**
 * Yields all objects, then the changes of each new view, until `signal` aborts. For a slow reader, several views are merged into one
 * difference, so that memory stays bounded. While nothing changes, an empty message every 15 s serves as a heartbeat.
 */
export async function* watchConfig(
    config: ConfigService,
    kind: ConfigKind | undefined,
    scheduler: Scheduler,
    signal: AbortSignal,
): AsyncIterable<WatchResponse> {
    let wake: () => void = () => undefined;
    let isHeartbeatDue = false;
    scheduler.every(heartbeatIntervalMs, () => {
        isHeartbeatDue = true;
        wake();
    }, signal);
    config.onChange(() => {
        wake();
    }, signal);
    signal.addEventListener("abort", () => {
        wake();
    }, { once: true });
    let sentView: ConfigView | undefined;
    while (!signal.aborted) {
        const { view } = config;
        if (view !== sentView) {
            const difference = diffViews(config, sentView, view, kind);
            if (sentView === undefined || difference.put.length > 0 || difference.deleted.length > 0) {
                yield difference;
            }
            sentView = view;
            continue;
        }
        if (isHeartbeatDue) {
            isHeartbeatDue = false;
            yield create(WatchResponseSchema, { configOffset: BigInt(view.offset) });
            continue;
        }
        await new Promise<void>(resolve => {
            wake = resolve;
        });
    }
}

function diffViews(config: ConfigService, from: ConfigView | undefined, to: ConfigView, kind: ConfigKind | undefined): WatchResponse {
    const before = indexByRef(from === undefined ? [] : listConfigObjects(from, kind));
    const after = indexByRef(listConfigObjects(to, kind));
    const put = [...after].filter(([ref, object]) => !isSame(before.get(ref), object)).map(([, object]) =>
        storedObjectToProto(config, object)
    );
    const deleted = [...before].filter(([ref]) => !after.has(ref))
        .map(([, object]) => create(ObjectRefSchema, { kind: kindConversion.toProto(object.kind), name: object.value.name }));
    return create(WatchResponseSchema, { configOffset: BigInt(to.offset), put, deleted });
}

function indexByRef(objects: readonly ConfigObject[]): Map<string, ConfigObject> {
    return new Map(objects.map(object => [`${object.kind}/${object.value.name}`, object]));
}

function isSame(left: ConfigObject | undefined, right: ConfigObject): boolean {
    return left !== undefined && (left.value === right.value || JSON.stringify(left.value) === JSON.stringify(right.value));
}
