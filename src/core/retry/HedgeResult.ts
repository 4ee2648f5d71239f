/**
 * What came of a slow attempt that was due for a hedge. `started`: a hedge was sent; `won`: it took the call over; `dropped`: it was admitted but not
 * sent, as the attempt began to answer or ended, or no upstream could take it; `refused-time`: too little time was left for it; `refused-load`: the other upstreams are near full; `refused-budget`: the share of hedges is used up; `refused-retries`: no retry
 * is to spare.
 */
export type HedgeResult = "started" | "won" | "dropped" | "refused-time" | "refused-load" | "refused-budget" | "refused-retries";
