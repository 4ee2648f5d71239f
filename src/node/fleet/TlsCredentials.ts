/** Certificate, private key and optional certificate authority of a listener, in PEM format. */
export interface TlsCredentials {
    readonly certificate: string;
    readonly key: string;
    readonly certificateAuthority: string | undefined;
}
