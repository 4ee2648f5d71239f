import { create } from "@bufbuild/protobuf";
import { Code, ConnectError, type ConnectRouter } from "@connectrpc/connect";
import type { ResultAsync } from "neverthrow";
import {
    GetResponseSchema,
    type Kind,
    ListResponseSchema,
    OperatorService,
    type StatusResponse,
    StatusResponseSchema,
} from "../../schema/generated/orioleshelf/v1/operator_pb.js";
import { ChangeApplier } from "./ChangeApplier.js";
import { explainQueryFromProto } from "./explainQueryFromProto.js";
import { explanationToProto } from "./explanationToProto.js";
import { kindConversion } from "./kindConversion.js";
import { listConfigObjects } from "./listConfigObjects.js";
import type { OperatorServerOptions } from "./OperatorServerOptions.js";
import { planUpstreamLeaving } from "./planUpstreamLeaving.js";
import { reportToProto } from "./reportToProto.js";
import { storedObjectToProto } from "./storedObjectToProto.js";
import { watchConfig } from "./watchConfig.js";

const maxReportPeriodMs = 3 * 86_400_000;

/** Creates the handlers of the operator RPC, for a Connect router. */
export function createOperatorRoutes(options: OperatorServerOptions): (router: ConnectRouter) => void {
    const { config } = options;
    const applier = new ChangeApplier(config);
    return router => {
        router.service(OperatorService, {
            apply: request => unwrapOrThrow(applier.applyRequest(request)),
            planUpstreamLeaving: request => unwrapOrThrow(planUpstreamLeaving(config, applier, request)),
            get: request => {
                const kind = kindConversion.fromProto(request.kind);
                const object = listConfigObjects(config.view, kind).find(candidate =>
                    kind !== undefined && candidate.value.name === request.name
                );
                if (object === undefined) {
                    throw new ConnectError(
                        `${kind ?? "object"} ${request.name} does not exist; list the objects of the kind to see their names`,
                        Code.NotFound,
                    );
                }
                return create(GetResponseSchema, { stored: storedObjectToProto(config, object) });
            },
            list: request => {
                const { view } = config;
                const stored = listConfigObjects(view, kindFilterFromProto(request.kind)).map(object =>
                    storedObjectToProto(config, object)
                );
                return create(ListResponseSchema, { stored, configOffset: BigInt(view.offset) });
            },
            watch: (request, context) => watchConfig(config, kindFilterFromProto(request.kind), options.scheduler, context.signal),
            status: () => createStatusResponse(options),
            report: async (request, context) => {
                const sinceMs = Math.min(request.sinceMs ?? maxReportPeriodMs, maxReportPeriodMs);
                if (!(sinceMs > 0)) {
                    throw new ConnectError("since_ms must be greater than 0; send a positive value or leave it out", Code.InvalidArgument);
                }
                return reportToProto(await options.report.report(sinceMs, context.signal));
            },
            explain: async (request, context) => {
                const query = explainQueryFromProto(request);
                if (query === undefined) {
                    throw new ConnectError("the query is empty; set one of request_id, service_class, vm, config", Code.InvalidArgument);
                }
                return explanationToProto(await options.explain.explain(query, context.signal));
            },
        });
    };
}

async function unwrapOrThrow<T>(pending: ResultAsync<T, ConnectError>): Promise<T> {
    const result = await pending;
    if (result.isErr()) {
        throw result.error;
    }
    return result.value;
}

function kindFilterFromProto(kind: Kind) {
    return kindConversion.fromProto(kind);
}

function createStatusResponse(options: OperatorServerOptions): StatusResponse {
    const { config, membership } = options;
    return create(StatusResponseSchema, {
        vm: options.vm,
        availabilityZone: options.availabilityZone,
        configOffset: BigInt(config.view.offset),
        ready: config.isReady,
        version: options.version,
        members: membership.members.map(member => ({
            vm: member.vm,
            availabilityZone: member.availabilityZone,
            region: member.region,
            state: member.state,
            configOffset: BigInt(member.configOffset),
        })),
    });
}
