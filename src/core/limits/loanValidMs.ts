/** Validity of a loan from the quota owner. */
export const loanValidMs = 4000;
