/** Draws prompts whose shared parts are popular or rare: a first part that many calls have, then a subject, then often a third part. */
export class PromptPartSource {
    constructor(private readonly random: () => number) {}

    /** The shared parts of a prompt. A part given as `inserted` gets a random place among them. */
    next(inserted?: string): readonly string[] {
        const parts = [`first-${this.drawSkewed(20)}`, `subject-${this.drawSkewed(300)}`];
        if (this.random() < 0.5) {
            parts.push(`detail-${this.drawSkewed(2_000)}`);
        }
        if (inserted !== undefined) {
            parts.splice(Math.floor(this.random() * (parts.length + 1)), 0, inserted);
        }
        return parts;
    }

    /** Draws log-uniformly, so that the frequency of a rank falls with its inverse. */
    private drawSkewed(count: number): number {
        return Math.floor((count + 1) ** this.random()) - 1;
    }
}
