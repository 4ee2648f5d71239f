import type { Member } from "../Member.js";

/** Creates a ready member for tests; `fields` override the defaults. */
export function exampleMember(vm: string, fields: Partial<Member> = {}): Member {
    return {
        vm,
        incarnation: "1",
        availabilityZone: "z",
        region: "r",
        peerUrl: "",
        processorShare: 1,
        state: "ready",
        configOffset: -1,
        ...fields,
    };
}
