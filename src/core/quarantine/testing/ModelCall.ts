/** A caller's call in the model. */
export interface ModelCall {
    readonly partIds: readonly string[];
    readonly isSound: boolean;
    readonly arrivedMs: number;
    readonly isRepeated: boolean;
}
