import * as z from "zod";

const Bytes = z.custom<Uint8Array>(value => value instanceof Uint8Array);

/**
 * One record of the booking stream. `nonce` counts the claims of one incarnation of one VM.
 * `key` and `digest` are hashes, so that neither a caller's key nor a body is kept in the log.
 */
export const BookingRecord = z.discriminatedUnion("type", [
    z.object({ type: z.literal("claim"), key: z.string(), digest: z.string(), nonce: z.int() }),
    /** The claimant has not sent the call and never will under this nonce. */
    z.object({ type: z.literal("abandon"), key: z.string(), nonce: z.int() }),
    z.object({
        type: z.literal("answer"),
        key: z.string(),
        nonce: z.int(),
        status: z.int(),
        contentType: z.string(),
        /** Absent when the body was too large to keep. */
        body: Bytes.optional(),
    }),
    /** The call was sent and it is not known what it did. */
    z.object({ type: z.literal("lost"), key: z.string(), nonce: z.int() }),
]);
export type BookingRecord = z.infer<typeof BookingRecord>;
