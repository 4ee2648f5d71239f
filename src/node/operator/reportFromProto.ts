import { toJson } from "@bufbuild/protobuf";
import { type ReportResponse, ReportResponseSchema } from "../../schema/generated/orioleshelf/v1/operator_pb.js";
import { ServiceLevelReport } from "../../schema/report/ServiceLevelReport.js";

/** Converts the response of a Report call. Throws if this version of the report schema rejects it. */
export function reportFromProto(message: ReportResponse): ServiceLevelReport {
    return ServiceLevelReport.parse(toJson(ReportResponseSchema, message, { alwaysEmitImplicit: true }));
}
