interface RouteAverage {
    meanPromptTokens: number;
}

/** Weight of one call in the moving average, which covers the last few dozen calls. */
const newCallWeight = 0.05;

/** Moving averages of the prompt lengths of each route. */
export class RoutePromptLengths {
    private readonly averagesByRoute = new Map<string, RouteAverage>();

    recordPromptLength(route: string, promptTokens: number): void {
        const average = this.averagesByRoute.get(route);
        if (average === undefined) {
            this.averagesByRoute.set(route, { meanPromptTokens: promptTokens });
            return;
        }
        average.meanPromptTokens += newCallWeight * (promptTokens - average.meanPromptTokens);
    }

    /** Mean prompt length of the route; undefined before its first call. */
    meanPromptTokens(route: string): number | undefined {
        return this.averagesByRoute.get(route)?.meanPromptTokens;
    }
}
