/** Names of headers that apply to a single connection and are not forwarded: the hop-by-hop headers (RFC 9110, section 7.6.1), `expect` and `host`. */
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
