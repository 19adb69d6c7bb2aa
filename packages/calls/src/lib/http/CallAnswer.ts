import type { Readable } from 'node:stream';

import type { Refusal } from './Refusal';

/**
 * Result of a call: a response whose body may still be arriving, or a refusal.
 *
 * @public
 */
export type CallAnswer = CallResponse | Refusal;

/**
 * A response of an upstream.
 *
 * @public
 */
export interface CallResponse {
  readonly kind: 'response';
  readonly status: number;
  /** End-to-end headers, names and values in turn. */
  readonly headers: readonly string[];
  /** A stream that errors when the response is truncated. */
  readonly body: Readable | Buffer;
  /** Longest time without a byte of the body, in milliseconds. */
  readonly idleTimeoutMilliseconds: number;
  /** Called when the body stayed silent for longer than that. */
  readonly onIdleTimeout?: () => void;
  /** Load of the serving node. */
  readonly load?: string;
}
