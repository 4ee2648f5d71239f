/** Certificate and key of a listener as PEM texts. */
export interface TlsCredentials {
    readonly certificate: string;
    readonly key: string;
    readonly certificateAuthority: string | undefined;
}
