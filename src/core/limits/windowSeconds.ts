/** Length of the window over which customer limits hold. */
export const windowSeconds = 60;
