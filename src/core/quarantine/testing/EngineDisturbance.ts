/** Trouble with engines that has nothing to do with the parts of prompts. */
export type EngineDisturbance =
    /** The engines crash at the same moment, as those of one rack. */
    | { readonly kind: "crash"; readonly atMs: number; readonly engines: readonly number[]; }
    /** The engines crash by turns every `periodMs`. */
    | {
        readonly kind: "flap";
        readonly fromMs: number;
        readonly untilMs: number;
        readonly periodMs: number;
        readonly engines: readonly number[];
    }
    /** The connections of one VM to the engine are reset. */
    | { readonly kind: "reset"; readonly atMs: number; readonly vm: number; readonly engine: number; };
