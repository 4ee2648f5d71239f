/** Stream of the platform's log on which VMs publish what they counted. */
export const reportStreamName = "report";
