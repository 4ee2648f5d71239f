/** An entry of KNOWN-RED.txt: a command that is expected to fail, its seed, the observed failure, and the issue that tracks it. */
export interface KnownRedEntry {
    readonly command: string;
    readonly seed: string;
    readonly seen: string;
    readonly issue: string;
}
