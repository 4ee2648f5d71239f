/** Renders all metrics of this VM in the Prometheus text format. */
export interface MetricsSource {
    readonly contentType: string;
    render(): Promise<string>;
}
