import type { Readable } from 'node:stream';

import type { LoadReport } from '@buckthornslip/routing';
import type { Refusal } from '@buckthornslip/calls';

/**
 * Answer of an upstream, whole or still arriving.
 *
 * @public
 */
export interface UpstreamResponse {
  readonly kind: 'answer';
  readonly status: number;
  /** End-to-end headers, names and values in turn. */
  readonly headers: readonly string[];
  /** The whole body, or its first part. */
  readonly body: Buffer;
  /** The rest of a body that is too long to be kept in memory; it fails if the answer is cut short. */
  readonly rest: Readable | undefined;
}

/** Result of one attempt, with the load of the serving node. */
export interface AttemptResult {
  readonly answer: UpstreamResponse | Refusal;
  readonly load: LoadReport | undefined;
}
