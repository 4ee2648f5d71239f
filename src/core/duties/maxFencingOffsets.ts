/** Leaves 17 bits of a fencing number below 2^53 for the epoch. At one append a second, 36 bits of offsets last for 2,000 years. */
export const maxFencingOffsets = 2 ** 36;
