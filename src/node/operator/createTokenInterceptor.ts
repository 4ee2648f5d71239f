import { Code, ConnectError, type Interceptor } from "@connectrpc/connect";
import { createHash, timingSafeEqual } from "node:crypto";

const scheme = "Bearer ";

/** Rejects calls without the operator token. Compares SHA-256 digests, which have equal length, in constant time. */
export function createTokenInterceptor(token: string): Interceptor {
    const expectedDigest = computeDigest(token);
    return next => request => {
        const header = request.header.get("authorization") ?? "";
        const receivedDigest = computeDigest(header.startsWith(scheme) ? header.slice(scheme.length) : "");
        if (!timingSafeEqual(expectedDigest, receivedDigest)) {
            throw new ConnectError(
                "the operator token is missing or wrong; send it as `Authorization: Bearer TOKEN`",
                Code.Unauthenticated,
            );
        }
        return next(request);
    };
}

function computeDigest(text: string): Buffer {
    return createHash("sha256").update(text).digest();
}
