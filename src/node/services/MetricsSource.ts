/** All metrics of this VM as text, in the format of Prometheus. */
export interface MetricsSource {
    readonly contentType: string;
    render(): Promise<string>;
}
