import { toJson } from "@bufbuild/protobuf";
import { type ReportResponse, ReportResponseSchema } from "../../schema/generated/orioleshelf/v1/operator_pb.js";
import { ServiceLevelReport } from "../../schema/report/ServiceLevelReport.js";

/** Converts the answer of a Report call. Throws on an answer that this version of the schema does not allow. */
export function reportFromProto(message: ReportResponse): ServiceLevelReport {
    return ServiceLevelReport.parse(toJson(ReportResponseSchema, message, { alwaysEmitImplicit: true }));
}
