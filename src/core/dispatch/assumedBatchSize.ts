/** Batch size assumed when predicting a request that has no engine yet. */
export const assumedBatchSize = 8;
