import type { Readable } from 'node:stream';

import type { LoadReport } from '@buckthornslip/routing';
import type { Refusal } from '@buckthornslip/calls';

/**
 * Response of an upstream, complete or still being received.
 *
 * @public
 */
export interface UpstreamResponse {
  readonly kind: 'answer';
  readonly status: number;
  /** End-to-end headers, as alternating names and values. */
  readonly headers: readonly string[];
  /** The complete body, or its first part. */
  readonly body: Buffer;
  /** The rest of a body that is too long to buffer; the stream fails if the response is truncated. */
  readonly rest: Readable | undefined;
}

/** Result of one attempt, with the load report of the serving node. */
export interface AttemptResult {
  readonly answer: UpstreamResponse | Refusal;
  readonly load: LoadReport | undefined;
  /**
   * Whether the call failed because an upstream refused it, or a call below it, that its node had admitted. Sending fewer calls
   * would not help then.
   */
  readonly isShed?: boolean;
  /**
   * Time that the upstream took for the call, without the time in the queue but with its nested calls, in milliseconds;
   * undefined if the call did not succeed, is streamed, or is not placed by expected work.
   */
  readonly serviceMilliseconds?: number | undefined;
  /**
   * Share of the recent calls of the same route there whose nested calls were not refused for lack of capacity, 0 to 1; undefined if
   * it is not known.
   */
  readonly nestedShare?: number | undefined;
  /** Whether the call failed because a call below it was refused for lack of capacity. */
  readonly isNestedRefused?: boolean;
}
