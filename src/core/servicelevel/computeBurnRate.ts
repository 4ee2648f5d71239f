/** Rate at which the error budget is spent; 1 spends exactly the budget of the objective. Undefined without events. */
export function computeBurnRate(good: number, bad: number, objective: number): number | undefined {
    const events = good + bad;
    return events === 0 ? undefined : (bad / events) / (1 - objective);
}
