/** Routes of the soak: non-idempotent, idempotent and streaming calls. */
export type SoakRoute = "once" | "repeatable" | "stream";
