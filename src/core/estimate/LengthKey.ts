/** Identifies a group of requests whose output lengths are learned together. */
export interface LengthKey {
    readonly service: string;
    readonly customer: string;
    readonly serviceClass: string;
}
