/** Returns the seal that an upstream sends with its response to a call. */
export function soakSeal(id: string): string {
    return `seal-of-${id}`;
}
