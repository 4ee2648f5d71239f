import { request } from "undici";
import { exampleCustomers } from "../../src/cli/quickstart/exampleCustomers.js";
import type { BookingResult } from "./BookingResult.js";

/** Sends one booking through a VM. Never throws: a failed connection gives a result with status 0. */
export async function book(callerUrl: string, key: string): Promise<BookingResult> {
    try {
        const response = await request(`${callerUrl}/services/pumpline-jobs/callouts`, {
            method: "POST",
            headers: {
                "authorization": `Bearer ${exampleCustomers[0].key}`,
                "content-type": "application/json",
                "idempotency-key": key,
            },
            body: JSON.stringify({ callout: key }),
        });
        const body = await response.body.text();
        return { status: response.statusCode, outcome: String(response.headers["x-orioleshelf-outcome"]), body };
    }
    catch {
        return { status: 0, outcome: "", body: "" };
    }
}
