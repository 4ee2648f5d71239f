import type { SoakRoute } from "./SoakRoute.js";

/** One call as its caller saw it. Times are milliseconds since the soak began. */
export interface SoakCall {
    readonly id: string;
    readonly route: SoakRoute;
    readonly vm: string;
    readonly askedMs: number;
    endedMs: number;
    /** 0 when the connection ended without the head of an answer. */
    status: number;
    seal: string | undefined;
    text: string;
    /** Why the answer is not whole; undefined when it is. */
    error: string | undefined;
}
