import type { EmbeddedFleet } from "./EmbeddedFleet.js";
import { exampleCustomers } from "./exampleCustomers.js";

/** Formats the JSON line of `quickstart --hold --json`: URLs, keys and tokens of the embedded fleet, for scripts. */
export function formatFleetEndpoints(fleet: EmbeddedFleet): string {
    const { standins, operatorToken } = fleet;
    const toEndpoint = ({ id, url }: { readonly id: string; readonly url: string; }) => ({ id, url });
    return JSON.stringify({
        vms: fleet.vms.map(({ id, availabilityZone, callerUrl, operatorUrl }) => ({ id, availabilityZone, callerUrl, operatorUrl })),
        customers: exampleCustomers.map(({ name, key, classes }) => ({ id: name, key, classes })),
        operatorToken,
        services: { bookings: ["pumpline-jobs"], models: ["pumpline-model"] },
        standins: {
            log: standins.log,
            vmList: standins.vmList,
            weightStore: standins.weightStore,
            engines: standins.engines.map(toEndpoint),
            services: standins.services.map(toEndpoint),
        },
    });
}
