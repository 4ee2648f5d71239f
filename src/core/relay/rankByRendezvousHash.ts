import type { RelayUpstream } from "../../schema/relay/RelayUpstream.js";
import { fnv1a } from "../util/fnv1a.js";
import { mixHash } from "../util/mixHash.js";

/** Orders upstreams by rendezvous hashing for `key`: one that comes or goes moves no other. */
export function rankByRendezvousHash(key: string, upstreams: readonly RelayUpstream[]): readonly RelayUpstream[] {
    const keyHash = fnv1a(key);
    return upstreams
        .map(upstream => ({ upstream, score: mixHash(fnv1a(upstream.id, keyHash)) }))
        .sort((left, right) => right.score - left.score)
        .map(({ upstream }) => upstream);
}
