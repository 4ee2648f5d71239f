/** Ordinary upstreams stay until they are given up; reclaimable ones cost less, and the platform may take them away at short notice. */
export type UpstreamKind = "ordinary" | "reclaimable";
