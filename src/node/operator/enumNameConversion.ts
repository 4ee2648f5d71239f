/** Converts enum values of the configuration schema to the names of proto enum values and back, such as "old" to `PATH_OLD`. */
export const enumNameConversion = {
    toProto(prefix: string, value: unknown): string {
        return `${prefix}_${String(value).toUpperCase()}`;
    },
    /** Returns undefined for a name without the prefix, such as the number of an enum value that the schema does not define. */
    fromProto(prefix: string, name: unknown): string | undefined {
        const nameText = String(name);
        return nameText.startsWith(`${prefix}_`) ? nameText.slice(prefix.length + 1).toLowerCase() : undefined;
    },
};
