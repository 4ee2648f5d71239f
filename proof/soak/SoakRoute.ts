/** Routes of the soak, by what may be repeated. */
export type SoakRoute = "once" | "repeatable" | "stream";
