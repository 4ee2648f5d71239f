import type { RequestSummary } from "./RequestSummary.js";

/** Notified when a request ends, for metrics and the service-level report. Called on the request path, so it must be cheap. */
export interface RequestObserver {
    requestEnded(summary: RequestSummary): void;
}
