/** The seal of an upstream's answer to a call. */
export function soakSeal(id: string): string {
    return `seal-of-${id}`;
}
