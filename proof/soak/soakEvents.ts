/** Returns the server-sent events that an upstream streams for a call, starting after `lastId`. */
export function soakEvents(id: string, lastId: number): readonly string[] {
    return [...Array(soakEventCount).keys()].slice(lastId).map(index => `id: ${index + 1}\ndata: ${id} ${index + 1}\n\n`);
}

const soakEventCount = 12;
