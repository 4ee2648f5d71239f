/** Options by which a command reaches a VM's operator port. */
export const operatorConnectionOptions = {
    operator: { type: "string" },
    "token-file": { type: "string" },
    "ca-file": { type: "string" },
} as const;
