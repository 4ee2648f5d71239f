/** URLs of the stand-ins of the embedded fleet. */
export interface StandinUrls {
    readonly log: string;
    readonly vmList: string;
    readonly weightStore: string;
    readonly engines: readonly {
        readonly id: string;
        readonly url: string;
        readonly availabilityZone: string;
        readonly path: "old" | "new";
    }[];
    readonly services: readonly {
        readonly id: string;
        readonly url: string;
        readonly availabilityZone: string;
        readonly path: "old" | "new";
    }[];
}
