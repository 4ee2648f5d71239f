import { computeDutyRank } from "./computeDutyRank.js";
import type { Member } from "./Member.js";
import { selectCapableVms } from "./selectCapableVms.js";

const rankedByView = new WeakMap<readonly Member[], Map<string, readonly string[]>>();

/**
 * The `count` VMs that rank first for a duty, in their order; fewer if fewer are ready. `members` is a membership view; a changed view is a
 * new array, and the order is computed once for each.
 */
export function rankDutyVms(duty: string, members: readonly Member[], count: number): readonly string[] {
    const ranked = rankedByView.get(members) ?? new Map<string, readonly string[]>();
    rankedByView.set(members, ranked);
    const key = `${count} ${duty}`;
    const known = ranked.get(key) ?? computeRanking(duty, members, count);
    ranked.set(key, known);
    return known;
}

function computeRanking(duty: string, members: readonly Member[], count: number): readonly string[] {
    const capable = selectCapableVms(members);
    const candidates = capable.length >= count ? capable : members.filter(({ state }) => state === "ready").map(({ vm }) => vm);
    return candidates.map(vm => ({ vm, rank: computeDutyRank(duty, vm, members) }))
        .sort((left, right) => left.rank - right.rank)
        .slice(0, count)
        .map(({ vm }) => vm);
}
