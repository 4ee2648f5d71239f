/** Length of the window over which customer limits hold. */
export const quotaWindowSeconds = 60;
