import type { Command } from "./Command.js";
import { apply } from "./commands/apply.js";
import { check } from "./commands/check.js";
import { explain } from "./commands/explain.js";
import { get } from "./commands/get.js";
import { load } from "./commands/load.js";
import { quickstart } from "./commands/quickstart.js";
import { report } from "./commands/report.js";
import { serve } from "./commands/serve.js";
import { standin } from "./commands/standin.js";
import { watch } from "./commands/watch.js";

/** Every command with its usage line and what it does. */
export const commandTable: Readonly<Record<string, { readonly usage: string; readonly summary: string; readonly run: Command; }>> = {
    serve: { usage: "serve --settings FILE", summary: "run one VM of the fleet", run: serve },
    check: { usage: "check FILE [--json]", summary: "check a settings file and print the effective settings", run: check },
    apply: { usage: "apply FILE [--dry-run] [--wait-ms N] [--author NAME] [--json]", summary: "apply many changes as one", run: apply },
    get: { usage: "get [KIND [NAME]] [--json]", summary: "print configuration objects", run: get },
    watch: { usage: "watch [KIND] [--json]", summary: "print changes of the configuration as they come into force", run: watch },
    report: { usage: "report [--since 3d] [--json | --html FILE] [--check]", summary: "report service levels and burn", run: report },
    explain: {
        usage: "explain REQUEST_ID | --class CLASS [--since 1h] | --vm VM | --config  [--json]",
        summary: "tell why a request, class, VM or the configuration is as it is",
        run: explain,
    },
    load: {
        usage: "load PLAN [--out FILE] [--html FILE] | load --compare A B [--html FILE]",
        summary: "drive the fleet with open-loop load and report by class",
        run: load,
    },
    standin: {
        usage: "standin engine|service|log|vm-list [--port N] [--model NAME]... [--name NAME] [--seed N]",
        summary: "run a stand-in for a platform service, engine or plain service",
        run: standin,
    },
    quickstart: { usage: "quickstart [--hold] [--json]", summary: "run an embedded fleet with an example job", run: quickstart },
};
