/** Length of the window whose demand decides on the number of upstreams: two waves of load with a period of 15 s, and a little more. */
export const scalingWindowMs = 32_000;
