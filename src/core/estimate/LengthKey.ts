/** What output lengths are learnt by. */
export interface LengthKey {
    readonly service: string;
    readonly customer: string;
    readonly serviceClass: string;
}
