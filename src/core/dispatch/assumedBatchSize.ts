/** Batch size at which work that is not placed yet is predicted. */
export const assumedBatchSize = 8;
