import type { ConnectionLimits } from './ConnectionLimits';
import { defaultConnectionLimits } from './defaultConnectionLimits';

/** Parts of the heap limit for kept bytes, uploads and answers. At the 200 MB of the smallest hosts, the defaults are lower. */
const KEPT_SHARE = 1 / 8;
const UPLOAD_SHARE = 1 / 12;
const ANSWER_SHARE = 1 / 24;

/**
 * Limits that fit into the memory of a process. With a heap limit of 64 MB, the defaults for 200 MB let unfinished bodies take up
 * to 187 MiB of resident memory.
 *
 * @param heapLimitBytes - Heap limit of the process, in bytes.
 * @returns The default limits, of which those in bytes are lower on a small heap.
 * @public
 */
export function connectionLimitsFor(heapLimitBytes: number): ConnectionLimits {
  const { answerBytes, keptBytes, uploadBytes } = defaultConnectionLimits;
  return {
    ...defaultConnectionLimits,
    keptBytes: Math.min(keptBytes, Math.floor(heapLimitBytes * KEPT_SHARE)),
    uploadBytes: Math.min(uploadBytes, Math.floor(heapLimitBytes * UPLOAD_SHARE)),
    answerBytes: Math.min(answerBytes, Math.floor(heapLimitBytes * ANSWER_SHARE)),
  };
}
