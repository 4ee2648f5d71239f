/** Reply to an order: `unavailable` means none of that kind are to be had now, `failed` that the order may or may not take effect. */
export type ScalingReply = "accepted" | "unavailable" | "rejected" | "failed";
