const words = [
    "pump",
    "valve",
    "seal",
    "gauge",
    "spruce",
    "maple",
    "hose",
    "air",
    "tone",
    "bore",
    "relay",
    "plate",
    "rib",
    "flow",
    "filter",
    "grain",
];

/** Token `index` of the answer to the prompt with this hash. Tokens contain their index so that tests detect lost or repeated ones. */
export function answerToken(hash: number, index: number): string {
    const mixed = Math.imul(hash ^ (index + 1), 0x9e3779b1) >>> 0;
    return `${words[mixed % words.length]}-${index} `;
}
