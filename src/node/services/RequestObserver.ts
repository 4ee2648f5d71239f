import type { RequestSummary } from "./RequestSummary.js";

/** Told of the end of each request, for metrics and the service-level report. Must be cheap: it is called on the request path. */
export interface RequestObserver {
    requestEnded(end: RequestSummary): void;
}
