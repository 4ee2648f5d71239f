/** Options of commands that connect to a VM's operator port. */
export const operatorConnectionOptions = {
    operator: { type: "string" },
    "token-file": { type: "string" },
    "ca-file": { type: "string" },
} as const;
