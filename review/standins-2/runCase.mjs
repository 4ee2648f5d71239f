import { Record } from "./Record.mjs";
import { Site } from "./Site.mjs";

/** A run that has not ended by then could not run. */
const maxRunMs = 110_000;

/**
 * Runs a case and exits: with 0 if the rule held, 1 if it was broken, 2 if the case could not run. `play` gets the site and whether there is
 * trouble, and returns what broke the rule, one line each, or undefined if the case could not run.
 */
export async function runCase(folder, play) {
    const record = new Record(folder);
    const site = new Site(record);
    const isTroubled = process.env.TROUBLE !== "0";
    record.add(isTroubled ? "run with the disruption" : "run without the disruption");
    const tooLong = setTimeout(() => {
        record.add("the run took too long");
        finish(undefined);
    }, maxRunMs);
    const finish = async broken => {
        clearTimeout(tooLong);
        await site.close();
        for (const line of broken ?? ["could not run"]) {
            record.add(broken === undefined ? line : `RULE BROKEN: ${line}`);
        }
        record.add(broken === undefined ? "could not run" : broken.length > 0 ? `broken ${broken.length} times` : "the rule held");
        record.write();
        process.stdout.write(`${record.lines.at(-1)}\n`);
        process.exit(broken === undefined ? 2 : broken.length > 0 ? 1 : 0);
    };
    try {
        await finish(await play(site, isTroubled, record));
    }
    catch (error) {
        record.add("the case failed", { error: error.stack });
        await finish(undefined);
    }
}
