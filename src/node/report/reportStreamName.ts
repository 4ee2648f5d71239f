/** Stream of the platform's log to which VMs publish their service level intervals. */
export const reportStreamName = "report";
