/** All metrics of this VM as text, in the format of Prometheus. */
export interface MetricsText {
    readonly contentType: string;
    text(): Promise<string>;
}
