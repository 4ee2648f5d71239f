import { Agent, type ClientRequest, type IncomingMessage, request } from "node:http";
import { benchCaller } from "./benchCaller.js";
import type { BenchCommand } from "./BenchCommand.js";
import type { BenchMessage } from "./BenchMessage.js";

/** Load generator that runs as a child process. It counts events in the raw bytes without parsing them, to use little CPU time. */
const endlessAnswerTokens = 1_000_000_000;
const agent = new Agent({ keepAlive: true, maxSockets: Infinity, maxFreeSockets: Infinity });
const eventSeparator = Buffer.from("\n\n");
let tokens = 0;
let openCount = 0;

process.on("message", (command: BenchCommand) => {
    switch (command.type) {
        case "startStreams":
            void startStreams(command).then(send);
            break;
        case "openStreams":
            void openStreams(command.url, command.count).then(() => {
                send({ type: "opened", count: openCount });
            });
            break;
        case "abortStreams":
            void abortStreams(command.url, command.count).then(abortedAtMs => {
                send({ type: "aborted", abortedAtMs });
            });
            break;
        case "reportTokens":
            reportTokens();
            break;
        default:
            break;
    }
});
process.on("disconnect", () => process.exit(0));

function send(message: BenchMessage): void {
    process.send?.(message);
}

function reportTokens(): void {
    const { user, system } = process.cpuUsage();
    send({ type: "tokens", tokens, openStreams: openCount, cpuMs: (user + system) / 1000 });
    tokens = 0;
}

/** Open loop: streams start at a fixed rate, whether or not earlier ones have ended. Each sample counts from the sending of its request. */
function startStreams(command: Extract<BenchCommand, { type: "startStreams"; }>): Promise<BenchMessage> {
    const samplesMs: number[][] = command.urls.map(() => []);
    const total = Math.floor(command.ratePerSecond * command.durationMs / 1000);
    const startMs = performance.now();
    let started = 0;
    let ended = 0;
    let failures = 0;
    return new Promise(resolve => {
        const countEnded = () => {
            ended++;
            if (ended === total) {
                resolve({ type: "firstTokens", samplesMs, failures });
            }
        };
        const timer = setInterval(() => {
            while (started < total && performance.now() - startMs >= started * 1000 / command.ratePerSecond) {
                const target = started % command.urls.length;
                started++;
                measureFirstToken(command.urls[target] ?? "", command.answerTokens).then(sampleMs => {
                    samplesMs[target]?.push(sampleMs);
                }, () => {
                    failures++;
                }).finally(countEnded);
            }
            if (started === total) {
                clearInterval(timer);
            }
        }, 1);
    });
}

function measureFirstToken(url: string, answerTokens: number): Promise<number> {
    return new Promise((resolve, reject) => {
        const startMs = performance.now();
        let firstMs: number | undefined;
        const outgoing = post(url, answerTokens, answer => {
            answer.on("data", (bytes: Buffer) => {
                firstMs ??= bytes.includes(eventSeparator) ? performance.now() - startMs : undefined;
            });
            answer.on("end", () => {
                if (firstMs === undefined || answer.statusCode !== 200) {
                    reject(new Error(`stream ended without a first token or with an error: status ${answer.statusCode}`));
                }
                else {
                    resolve(firstMs);
                }
            });
        });
        outgoing.on("error", reject);
    });
}

/** Resolves when every stream has received its first bytes. A stream that ends earlier rejects, which terminates this process. */
async function openStreams(url: string, count: number): Promise<void> {
    await Promise.all(Array.from(Array(count).keys(), () => openStream(url)));
}

async function abortStreams(url: string, count: number): Promise<Record<string, number>> {
    const abortedAtMs: Record<string, number> = {};
    for (let index = 0; index < count; index++) {
        const requestId = await abortAtFirstBytes(url);
        abortedAtMs[requestId] = Date.now();
    }
    return abortedAtMs;
}

/** Aborts the stream at its first bytes; resolves with its request id. */
function abortAtFirstBytes(url: string): Promise<string> {
    return new Promise((resolve, reject) => {
        const outgoing = post(url, endlessAnswerTokens, answer => {
            answer.once("data", () => {
                outgoing.destroy();
                resolve(String(answer.headers["x-request-id"]));
            });
            answer.on("error", () => undefined);
        });
        outgoing.on("error", reject);
    });
}

function openStream(url: string): Promise<void> {
    return new Promise((resolve, reject) => {
        const outgoing = post(url, endlessAnswerTokens, answer => {
            openCount++;
            answer.on("data", (bytes: Buffer) => {
                tokens += countEvents(bytes);
                resolve();
            });
            answer.on("close", () => {
                openCount--;
                reject(new Error(`stream ended with status ${answer.statusCode} before its first bytes`));
            });
        });
        outgoing.on("error", reject);
    });
}

function countEvents(bytes: Buffer): number {
    let count = 0;
    for (let at = bytes.indexOf(eventSeparator); at !== -1; at = bytes.indexOf(eventSeparator, at + eventSeparator.length)) {
        count++;
    }
    return count;
}

function post(url: string, answerTokens: number, onAnswer: (answer: IncomingMessage) => void): ClientRequest {
    const body = JSON.stringify({
        model: benchCaller.model,
        stream: true,
        max_tokens: answerTokens,
        messages: [{ role: "user", content: "what holds the pressure" }],
    });
    const outgoing = request(`${url}/v1/chat/completions`, {
        method: "POST",
        agent,
        headers: {
            "authorization": `Bearer ${benchCaller.key}`,
            "content-type": "application/json",
            "content-length": Buffer.byteLength(body),
        },
    }, onAnswer);
    outgoing.setNoDelay(true);
    outgoing.end(body);
    return outgoing;
}
