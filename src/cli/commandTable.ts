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

/** All commands by name, each with its usage line and a summary. */
export const commandTable: Readonly<Record<string, { readonly usage: string; readonly summary: string; readonly run: Command; }>> = {
    serve: { usage: "serve --settings FILE", summary: "run one VM of the fleet", run: serve },
    check: { usage: "check FILE [--json]", summary: "check a settings file and print the effective settings", run: check },
    apply: {
        usage: "apply FILE [--dry-run] [--wait-ms N] [--author NAME] [--json]",
        summary: "apply the changes of a file as one atomic change",
        run: apply,
    },
    get: { usage: "get [KIND [NAME]] [--json]", summary: "print configuration objects", run: get },
    watch: { usage: "watch [KIND] [--json]", summary: "print configuration changes as they come into force", run: watch },
    report: {
        usage: "report [--since 3d] [--json | --html FILE] [--check]",
        summary: "report service levels and error budget burn",
        run: report,
    },
    explain: {
        usage: "explain REQUEST_ID | --class CLASS [--since 1h] | --vm VM | --config  [--json]",
        summary: "show the decisions about a request, class, VM or the configuration",
        run: explain,
    },
    load: {
        usage: "load PLAN [--out FILE] [--html FILE] | load --compare A B [--html FILE]",
        summary: "send open-loop load to the fleet and report by class",
        run: load,
    },
    standin: {
        usage: "standin engine|service|log|weight-store|vm-list [--port N] [--model NAME]... [--name NAME] [--seed N]",
        summary: "run a stand-in for a platform service, engine or plain service",
        run: standin,
    },
    quickstart: { usage: "quickstart [--hold] [--json]", summary: "run an embedded fleet with example calls", run: quickstart },
};
