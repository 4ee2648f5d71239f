/** TLS credentials for links between VMs, as PEM text. The certificate of a dialed peer is verified against `certificateAuthority`. */
export interface PeerTls {
    readonly certificate: string;
    readonly privateKey: string;
    readonly certificateAuthority: string;
}
