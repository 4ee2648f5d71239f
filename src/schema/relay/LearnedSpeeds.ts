import * as z from "zod";
import { LearnedSpeed } from "./LearnedSpeed.js";

const Speed = z.number().min(0.05).max(20);

/** What has been learned of a service: all engines outside the band, and its prefill speed. */
export const LearnedSpeeds = z.object({ service: z.string(), prefillSpeed: Speed, speeds: z.array(LearnedSpeed) });
