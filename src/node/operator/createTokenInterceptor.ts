import { Code, ConnectError, type Interceptor } from "@connectrpc/connect";
import { createHash, timingSafeEqual } from "node:crypto";

const scheme = "Bearer ";

/** Refuses calls without the operator's token. Digests of equal length are compared, in constant time. */
export function createTokenInterceptor(token: string): Interceptor {
    const wanted = digest(token);
    return next => request => {
        const header = request.header.get("authorization") ?? "";
        const given = digest(header.startsWith(scheme) ? header.slice(scheme.length) : "");
        if (!timingSafeEqual(wanted, given)) {
            throw new ConnectError("operator token missing or wrong; send it as `Authorization: Bearer TOKEN`", Code.Unauthenticated);
        }
        return next(request);
    };
}

function digest(text: string): Buffer {
    return createHash("sha256").update(text).digest();
}
