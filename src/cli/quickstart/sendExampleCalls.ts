import { request } from "undici";
import type { RunningVm } from "../../node/fleet/RunningVm.js";
import type { ExampleCall } from "./ExampleCall.js";
import { exampleCustomers } from "./exampleCustomers.js";

const maxAnswerCharacters = 48;

interface CallPlan {
    readonly what: string;
    readonly vm: RunningVm;
    /** Path of the request URL. */
    readonly target: string;
    readonly serviceClass: string;
    readonly idempotencyKey?: string;
    readonly body: unknown;
}

/** Sends streamed chat requests of two classes to all VMs, then two bookings, one of them repeated with its idempotency key on another VM. */
export async function sendExampleCalls(vms: readonly RunningVm[]): Promise<ExampleCall[]> {
    const chats = vms.flatMap(vm =>
        ["urgent", "standard"].flatMap(serviceClass => [createChatPlan(vm, serviceClass, 1), createChatPlan(vm, serviceClass, 2)])
    );
    const chatCalls = await Promise.all(chats.map(send));
    const [first, second = first] = vms as [RunningVm, ...RunningVm[]];
    const bookingCalls: ExampleCall[] = [];
    for (
        const plan of [
            createBookingPlan(first, "callout-17"),
            createBookingPlan(second, "callout-18"),
            createBookingPlan(second, "callout-17"),
        ]
    ) {
        bookingCalls.push(await send(plan));
    }
    return [...chatCalls, ...bookingCalls];
}

function createChatPlan(vm: RunningVm, serviceClass: string, number: number): CallPlan {
    const content = `Compressor ${number} at station ${vm.availabilityZone} does not build pressure. Which part is to be checked first?`;
    const body = { model: "pumpline-model", stream: true, max_tokens: 24, messages: [{ role: "user", content }] };
    return { what: "chat, streamed", vm, target: "/v1/chat/completions", serviceClass, body };
}

function createBookingPlan(vm: RunningVm, key: string): CallPlan {
    const body = { callout: key, station: "Ba" };
    return { what: `booking ${key}`, vm, target: "/services/pumpline-jobs/callouts", serviceClass: "urgent", idempotencyKey: key, body };
}

async function send(plan: CallPlan): Promise<ExampleCall> {
    const response = await request(plan.vm.callerUrl + plan.target, {
        method: "POST",
        headers: {
            "authorization": `Bearer ${exampleCustomers[0].key}`,
            "content-type": "application/json",
            "x-orioleshelf-class": plan.serviceClass,
            ...(plan.idempotencyKey === undefined ? {} : { "idempotency-key": plan.idempotencyKey }),
        },
        body: JSON.stringify(plan.body),
    });
    const text = await response.body.text();
    const getHeader = (name: string) => String(response.headers[name] ?? "-");
    return {
        what: plan.what,
        serviceClass: plan.serviceClass,
        vm: plan.vm.id,
        status: response.statusCode,
        outcome: getHeader("x-orioleshelf-outcome"),
        path: "-",
        upstream: "-",
        answer: extractAnswer(plan, response.statusCode, text),
        requestId: getHeader("x-request-id"),
    };
}

/** Returns the first characters of a successful answer, or the full body of any other. */
function extractAnswer(plan: CallPlan, status: number, text: string): string {
    if (status !== 200) {
        return text;
    }
    return (plan.target.startsWith("/v1") ? joinStreamContent(text) : text).slice(0, maxAnswerCharacters);
}

/** Joins the content of the chat chunks of a server-sent event stream. */
function joinStreamContent(stream: string): string {
    return stream
        .split("\n")
        .filter(line => line.startsWith("data: {"))
        .map(line => JSON.parse(line.slice("data: ".length)) as { choices?: { delta?: { content?: string; }; }[]; })
        .map(chunk => chunk.choices?.[0]?.delta?.content ?? "")
        .join("");
}
