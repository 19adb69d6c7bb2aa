import type { Readable } from 'node:stream';

import type { Refusal } from './Refusal';

/**
 * Result of a call: a response whose body may still be arriving, or a refusal.
 *
 * @public
 */
export type CallAnswer = CallResponse | Refusal;

/**
 * A response from an upstream.
 *
 * @public
 */
export interface CallResponse {
  readonly kind: 'response';
  readonly status: number;
  /** End-to-end headers as alternating names and values. */
  readonly headers: readonly string[];
  /** The complete body, or a stream that emits an error when the response is truncated. */
  readonly body: Readable | Buffer;
  /** Idle timeout of the body, in milliseconds. */
  readonly idleTimeoutMilliseconds: number;
  /** Called when the body exceeds the idle timeout. */
  readonly onIdleTimeout?: () => void;
  /** Load of the serving node. */
  readonly load?: string;
}
