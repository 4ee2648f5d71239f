import { diffConfigViews } from "../../core/explain/diffConfigViews.js";
import { diffMemberViews } from "../../core/explain/diffMemberViews.js";
import type { EventDraft } from "../../core/explain/EventDraft.js";
import type { Scheduler } from "../../core/util/Scheduler.js";
import type { ConfigService } from "../services/ConfigService.js";
import type { EventRecorder } from "../services/EventRecorder.js";
import type { MembershipService } from "../services/MembershipService.js";

interface FleetChangeRecorderOptions {
    readonly vm: string;
    readonly config: ConfigService;
    readonly membership: MembershipService;
    readonly events: EventRecorder;
    readonly scheduler: Scheduler;
}

/** Records the changes of membership, availability zones and configuration that this VM observes. */
export class FleetChangeRecorder {
    constructor(private readonly options: FleetChangeRecorderOptions) {}

    /** Records until `signal` aborts. */
    start(signal: AbortSignal): void {
        const { vm, config, membership } = this.options;
        let members = [...membership.members];
        membership.onChange(changed => {
            this.record(diffMemberViews(members, changed, vm));
            members = [...changed];
        }, signal);
        let { view } = config;
        config.onChange(changed => {
            this.record(diffConfigViews(view, changed));
            view = changed;
        }, signal);
    }

    private record(drafts: readonly EventDraft[]): void {
        const atMs = this.options.scheduler.wallMs();
        for (const draft of drafts) {
            this.options.events.record({ ...draft, atMs, vm: this.options.vm });
        }
    }
}
