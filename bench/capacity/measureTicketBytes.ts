import { defaultDispatchOptions } from "../../src/core/dispatch/defaultDispatchOptions.js";
import { ShardDispatcher } from "../../src/core/dispatch/ShardDispatcher.js";
import { seededRandom } from "../policy/seededRandom.js";
import { usedBytes } from "../usedBytes.js";
import type { Quantity } from "./Quantity.js";
import { requestMessages } from "./requestMessages.js";

const waitingCount = 20_000;
/** Memory per waiting ticket in a shard dispatcher. Needs `--expose-gc`. */
export function measureTicketBytes(): Quantity {
    const random = seededRandom(1);
    const dispatcher = new ShardDispatcher({ ...defaultDispatchOptions, maxWaitingTickets: waitingCount }, random);
    dispatcher.setUpstreams([{ id: "engine-1", availabilityZone: "lautoka", maxInFlight: 1, leaving: true }], 0);
    const before = usedBytes();
    for (let sequence = 0; sequence < waitingCount; sequence++) {
        const [offer] = requestMessages(sequence, sequence % 1_200, random);
        if (offer?.type === "ticketOffer") {
            dispatcher.offer(offer.ticket, 0);
        }
    }
    const bytes = (usedBytes() - before) / waitingCount;
    if (dispatcher.queueState().waiting !== waitingCount) {
        throw new Error("dispatcher did not queue all offered tickets; discarding the measurement");
    }
    return { name: "ticketBytes", value: Math.round(bytes), unit: "bytes", source: `${waitingCount} tickets waiting` };
}
