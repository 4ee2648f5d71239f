/** Headers that concern one connection, not the message; they are not passed on (RFC 9110, section 7.6.1). */
export const hopByHopHeaders: ReadonlySet<string> = new Set([
    "connection",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "expect",
    "host",
]);
