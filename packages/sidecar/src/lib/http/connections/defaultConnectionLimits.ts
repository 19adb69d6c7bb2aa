import type { ConnectionLimits } from './ConnectionLimits';

/**
 * Limits of the listener for callers. Callers send one request at a time, and the smallest hosts have 250 MB of memory, 200 MB
 * of them for the heap, and 4,100 descriptors.
 *
 * @public
 */
export const defaultConnectionLimits: ConnectionLimits = {
  requestsAhead: 4,
  requests: 4_096,
  keptBytes: 12_582_912,
  uploadBytes: 16_777_216,
  answerBytes: 8_388_608,
  connections: 2_048,
  stallMilliseconds: 60_000,
};
