import { errAsync, okAsync, type ResultAsync } from "neverthrow";
import type { ConfigView } from "../../../core/config/ConfigView.js";
import type { ConfigObject } from "../../../schema/config/ConfigObject.js";
import type { ApplyError } from "../../services/ApplyError.js";
import type { ApplyResult } from "../../services/ApplyResult.js";
import type { ConfigService } from "../../services/ConfigService.js";

type Change = Parameters<ConfigService["apply"]>[0];

/** In-memory configuration service for tests: a single VM without a log. */
export class FakeConfigService implements ConfigService {
    view: ConfigView = { offset: -1, serviceClasses: new Map(), customers: new Map(), pools: new Map(), pathShares: new Map() };
    isReady = true;
    /** Availability zones that `apply` reports as pending. */
    pendingZones: string[] = [];
    /** Error with which the next call of `apply` fails. */
    nextError: ApplyError | undefined;
    private readonly revisions = new Map<string, number>();
    private readonly listeners = new Set<(view: ConfigView) => void>();

    onChange(listener: (view: ConfigView) => void, signal: AbortSignal): void {
        this.listeners.add(listener);
        signal.addEventListener("abort", () => this.listeners.delete(listener), { once: true });
    }

    get listenerCount(): number {
        return this.listeners.size;
    }

    apply(change: Change): ResultAsync<ApplyResult, ApplyError> {
        const error = this.nextError;
        this.nextError = undefined;
        if (error !== undefined) {
            return errAsync(error);
        }
        const offset = this.view.offset + 1;
        const maps = {
            serviceClass: new Map(this.view.serviceClasses),
            customer: new Map(this.view.customers),
            pool: new Map(this.view.pools),
            pathShare: new Map(this.view.pathShares),
        };
        for (const operation of change.operations) {
            if (operation.op === "put") {
                const { kind, value } = operation.object;
                (maps[kind] as Map<string, ConfigObject["value"]>).set(value.name, value);
                this.revisions.set(`${kind}/${value.name}`, offset);
            }
            else {
                maps[operation.kind].delete(operation.name);
                this.revisions.delete(`${operation.kind}/${operation.name}`);
            }
        }
        this.view = { offset, serviceClasses: maps.serviceClass, customers: maps.customer, pools: maps.pool, pathShares: maps.pathShare };
        this.listeners.forEach(listener => {
            listener(this.view);
        });
        return okAsync({ status: this.pendingZones.length > 0 ? "pending" : "accepted", offset, pendingZones: this.pendingZones });
    }

    findRevision(kind: string, name: string): number | undefined {
        return this.revisions.get(`${kind}/${name}`);
    }
}
