import { FULL_ANSWER_WINDOW_BYTES } from '../serving/FULL_ANSWER_WINDOW_BYTES';

/** Smallest window, in bytes. Most answers are shorter, and need no credit. */
const MINIMUM_WINDOW_BYTES = 8_192;

/**
 * Creates the choice of how much of an answer may arrive before its caller reads it. Callers that do not read their answers would
 * otherwise fill the memory of the entry node, so the windows become smaller as requests accumulate.
 *
 * @param limitBytes - Bytes that are shared out among the requests in progress.
 * @param inProgress - Returns the number of requests without a complete response.
 * @returns A function that returns the window of the next call, in bytes.
 * @internal
 */
export function createAnswerWindow(limitBytes: number, inProgress: () => number): () => number {
  return () => {
    const shareBytes = Math.floor(limitBytes / Math.max(1, inProgress()));
    return Math.min(FULL_ANSWER_WINDOW_BYTES, Math.max(MINIMUM_WINDOW_BYTES, shareBytes));
  };
}
