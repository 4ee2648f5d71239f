import type { Scheduler } from "../../core/util/Scheduler.js";
import type { BookingService } from "../services/BookingService.js";
import type { ConfigService } from "../services/ConfigService.js";
import type { DispatchService } from "../services/DispatchService.js";
import type { EngineClient } from "../services/EngineClient.js";
import type { EventRecorder } from "../services/EventRecorder.js";
import type { LimitService } from "../services/LimitService.js";
import type { PlainClient } from "../services/PlainClient.js";
import type { RequestObserver } from "../services/RequestObserver.js";
import type { CallerLimits } from "./CallerLimits.js";

/** What the caller API needs of the other parts of a VM. */
export interface CallerServerOptions {
    readonly vm: string;
    readonly availabilityZone: string;
    readonly host: string;
    /** 0 takes any free port. */
    readonly port: number;
    /** PEM texts; plain HTTP when absent. */
    readonly tls?: { readonly certificate: string; readonly key: string; } | undefined;
    readonly config: ConfigService;
    readonly dispatch: DispatchService;
    readonly limits: LimitService;
    readonly bookings: BookingService;
    readonly engines: EngineClient;
    readonly plain: PlainClient;
    readonly recorder: EventRecorder;
    readonly observer: RequestObserver;
    readonly scheduler: Scheduler;
    /** Whether the rest of the VM is ready; the configuration's readiness is asked apart. */
    readonly isReady: () => boolean;
    /** Unique over the fleet. */
    readonly newRequestId: () => string;
    readonly callerLimits?: Partial<CallerLimits> | undefined;
}
