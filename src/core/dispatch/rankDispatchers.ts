import type { Member } from "../membership/Member.js";
import { hashText } from "./hashText.js";

/**
 * Ranks the VMs that may dispatch a shard, best first, by rendezvous hashing: when a VM leaves, only the shards that it dispatched move.
 * Ready VMs of the shard's zone come before other ready VMs; starting and draining VMs are excluded.
 */
export function rankDispatchers(shardId: string, availabilityZone: string | undefined, members: readonly Member[]): readonly string[] {
    return members
        .filter(member => member.state === "ready")
        .map(member => ({
            vm: member.vm,
            isLocal: member.availabilityZone === availabilityZone,
            score: hashText(`${shardId}/${member.vm}`),
        }))
        .sort((left, right) => Number(right.isLocal) - Number(left.isLocal) || right.score - left.score)
        .map(({ vm }) => vm);
}
