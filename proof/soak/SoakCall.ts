import type { SoakRoute } from "./SoakRoute.js";

/** One call as its caller saw it. Times are in milliseconds since the soak began. */
export interface SoakCall {
    readonly id: string;
    readonly route: SoakRoute;
    readonly vm: string;
    readonly sentMs: number;
    endedMs: number;
    /** HTTP status; 0 when the connection ended before the response head. */
    status: number;
    seal: string | undefined;
    text: string;
    /** Why the response is incomplete; undefined when it is complete. */
    error: string | undefined;
}
