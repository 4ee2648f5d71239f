import { Code, ConnectError } from "@connectrpc/connect";
import type { CommandContext } from "./CommandContext.js";
import { ExitCode } from "./ExitCode.js";

const exitCodes: Partial<Record<Code, ExitCode>> = {
    [Code.InvalidArgument]: ExitCode.usage,
    [Code.Aborted]: ExitCode.conflict,
    [Code.Unavailable]: ExitCode.unreachable,
    [Code.Unauthenticated]: ExitCode.unreachable,
    [Code.Unknown]: ExitCode.unknown,
    [Code.DeadlineExceeded]: ExitCode.unknown,
};

/** Runs a call of the operator RPC; an RPC error is printed to standard error and mapped to an exit code. */
export async function callOperator(context: CommandContext, call: () => Promise<ExitCode>): Promise<ExitCode> {
    try {
        return await call();
    }
    catch (error) {
        if (!(error instanceof ConnectError)) {
            throw error;
        }
        context.printError(`orioleshelf: ${error.rawMessage}${describeRemedy(error.code)}`);
        return exitCodes[error.code] ?? ExitCode.failed;
    }
}

function describeRemedy(code: Code): string {
    switch (code) {
        case Code.Unavailable:
            return "; check the URL given by --operator, or try another VM";
        case Code.Unknown:
        case Code.DeadlineExceeded:
            return "; if the call was an apply, the change may have been made: run get before applying again";
        default:
            return "";
    }
}
