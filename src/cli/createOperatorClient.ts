import { type Client, createClient, type Interceptor } from "@connectrpc/connect";
import { createConnectTransport } from "@connectrpc/connect-node";
import { readFileSync } from "node:fs";
import { readSecret } from "../node/settings/readSecret.js";
import { OperatorService } from "../schema/generated/orioleshelf/v1/operator_pb.js";
import type { CommandContext } from "./CommandContext.js";
import { UsageError } from "./UsageError.js";

interface OperatorConnectionValues {
    readonly operator?: string | undefined;
    readonly "token-file"?: string | undefined;
    readonly "ca-file"?: string | undefined;
}

const urlVariable = "ORIOLESHELF_OPERATOR_URL";
const tokenVariable = "ORIOLESHELF_OPERATOR_TOKEN";

/** Creates a client of the operator RPC from command options, with environment variables as fallback. */
export function createOperatorClient(connectionValues: OperatorConnectionValues, context: CommandContext): Client<typeof OperatorService> {
    const baseUrl = connectionValues.operator ?? context.environment[urlVariable];
    if (baseUrl === undefined || !URL.canParse(baseUrl)) {
        throw new UsageError(`specify the URL of a VM's operator port with --operator URL or ${urlVariable}`);
    }
    const caFile = connectionValues["ca-file"];
    const nodeOptions = caFile === undefined ? {} : { ca: readCaCertificate(caFile) };
    return createClient(
        OperatorService,
        createConnectTransport({
            baseUrl,
            httpVersion: "1.1",
            interceptors: [withToken(readToken(connectionValues, context))],
            nodeOptions,
        }),
    );
}

function readToken(connectionValues: OperatorConnectionValues, context: CommandContext): string {
    const file = connectionValues["token-file"];
    return readSecret(file === undefined ? { env: tokenVariable } : { file }, context.environment).match(
        token => token,
        message => {
            throw new UsageError(`${message}; specify the operator token with --token-file FILE or ${tokenVariable}`);
        },
    );
}

function readCaCertificate(file: string): Buffer {
    try {
        return readFileSync(file);
    }
    catch {
        throw new UsageError(`CA certificate file ${file} cannot be read; specify a readable PEM file with --ca-file`);
    }
}

function withToken(token: string): Interceptor {
    return next => request => {
        request.header.set("authorization", `Bearer ${token}`);
        return next(request);
    };
}
