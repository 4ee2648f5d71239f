interface RouteProfile {
    promptTokens: number;
}

/** Share that one call takes of the average; the last few dozen calls count. */
const newShare = 0.05;

/** What calls of each route are like, learnt from those that came. */
export class RoutePromptLengths {
    private readonly profiles = new Map<string, RouteProfile>();

    observe(route: string, promptTokens: number): void {
        const profile = this.profiles.get(route);
        if (profile === undefined) {
            this.profiles.set(route, { promptTokens });
            return;
        }
        profile.promptTokens += newShare * (promptTokens - profile.promptTokens);
    }

    meanPromptTokens(route: string): number | undefined {
        return this.profiles.get(route)?.promptTokens;
    }
}
