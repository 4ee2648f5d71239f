import { fromJson, type JsonValue } from "@bufbuild/protobuf";
import { type ReportResponse, ReportResponseSchema } from "../../schema/generated/orioleshelf/v1/operator_pb.js";
import type { ServiceLevelReport } from "../../schema/report/ServiceLevelReport.js";

/** Converts a report to its proto message. Both schemas use the same JSON field names. */
export function reportToProto(report: ServiceLevelReport): ReportResponse {
    return fromJson(ReportResponseSchema, JSON.parse(JSON.stringify(report)) as JsonValue);
}
