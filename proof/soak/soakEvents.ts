/** Events of a stream that an upstream of the soak sends, from the one after `lastId` on. */
export function soakEvents(id: string, lastId: number): readonly string[] {
    return [...Array(soakEventCount).keys()].slice(lastId).map(index => `id: ${index + 1}\ndata: ${id} ${index + 1}\n\n`);
}

const soakEventCount = 12;
