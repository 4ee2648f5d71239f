/** Certificates for links between VMs, as PEM text. Peers are checked against `certificateAuthority`. */
export interface PeerTls {
    readonly certificate: string;
    readonly privateKey: string;
    readonly certificateAuthority: string;
}
