/** Customers of the embedded fleet with their bearer keys, which are valid only there. */
export const exampleCustomers = [
    { name: "forecourt-vans", key: "example-key-forecourt-vans", classes: ["urgent", "standard", "bulk"], defaultClass: "standard" },
    { name: "workshop", key: "example-key-workshop", classes: ["standard", "bulk"], defaultClass: "bulk" },
] as const;
