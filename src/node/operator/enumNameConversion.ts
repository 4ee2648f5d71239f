/** Names of proto enum values for the short words of the configuration schema, and back: "old" is `PATH_OLD`. */
export const enumNameConversion = {
    toProto(prefix: string, word: unknown): string {
        return `${prefix}_${String(word).toUpperCase()}`;
    },
    /** `undefined` for a name without the prefix, such as a number that the schema does not know. */
    fromProto(prefix: string, name: unknown): string | undefined {
        const text = String(name);
        return text.startsWith(`${prefix}_`) ? text.slice(prefix.length + 1).toLowerCase() : undefined;
    },
};
