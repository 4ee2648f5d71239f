/** Key that identifies a model version and its adapter. */
export function formatPlacementKey(
    placement: { readonly model: string; readonly version: string; readonly adapter?: string | undefined; },
): string {
    return JSON.stringify([placement.model, placement.version, placement.adapter ?? ""]);
}
