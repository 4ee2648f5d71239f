import type { RelayUpstream } from "../../schema/relay/RelayUpstream.js";
import { fnv1a } from "../util/fnv1a.js";
import { mixHash } from "../util/mixHash.js";

/** Ranks upstreams by rendezvous hashing for `key`: adding or removing one does not change the order of the others. */
export function rankByRendezvousHash(key: string, upstreams: readonly RelayUpstream[]): readonly RelayUpstream[] {
    const keyHash = fnv1a(key);
    return upstreams
        .map(upstream => ({ upstream, score: mixHash(fnv1a(upstream.id, keyHash)) }))
        .sort((left, right) => right.score - left.score)
        .map(({ upstream }) => upstream);
}
