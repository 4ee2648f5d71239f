import * as z from "zod";

const Bytes = z.custom<Uint8Array>(value => value instanceof Uint8Array);

/**
 * One record of a `BookingBatch`. `nonce` numbers the claims of one incarnation of a VM. `key` is a hash of the idempotency key and
 * `digest` a hash of the request, so that the log contains neither keys nor request bodies of callers.
 */
export const BookingRecord = z.discriminatedUnion("type", [
    z.object({ type: z.literal("claim"), key: z.string(), digest: z.string(), nonce: z.int() }),
    /** The owner of the claim has not sent the call and will not send it under this nonce. */
    z.object({ type: z.literal("abandon"), key: z.string(), nonce: z.int() }),
    z.object({
        type: z.literal("answer"),
        key: z.string(),
        nonce: z.int(),
        status: z.int(),
        contentType: z.string(),
        /** Absent if the body was too large to store. */
        body: Bytes.optional(),
    }),
    /** The call was sent, and its outcome is unknown. */
    z.object({ type: z.literal("lost"), key: z.string(), nonce: z.int() }),
]);
export type BookingRecord = z.infer<typeof BookingRecord>;
