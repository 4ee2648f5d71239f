/** Availability zones of the embedded fleet. */
export const exampleZones = ["lautoka", "nadi", "ba"] as const;
