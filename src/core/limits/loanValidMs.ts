/** How long a loan may be used. */
export const loanValidMs = 4000;
