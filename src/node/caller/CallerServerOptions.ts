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

/** Settings of the caller API and the services of the VM that it uses. */
export interface CallerServerOptions {
    readonly vm: string;
    readonly availabilityZone: string;
    readonly host: string;
    /** 0 selects any free port. */
    readonly port: number;
    /** Certificate and private key in PEM format; plain HTTP when absent. */
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
    /** Whether the VM is ready, apart from its configuration, which `config` reports itself. */
    readonly isReady: () => boolean;
    /** Creates a request ID that is unique across the fleet. */
    readonly createRequestId: () => string;
    readonly callerLimits?: Partial<CallerLimits> | undefined;
}
