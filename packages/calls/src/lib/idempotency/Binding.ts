import type { AttemptId, NodeIdentity } from '@buckthornslip/common';

/**
 * The record that binds an idempotency key to an attempt at one serving node process.
 *
 * @public
 */
export interface Binding {
  readonly scopedKey: string;
  readonly requestDigest: string;
  readonly attemptId: AttemptId;
  /** The only node process that may run the attempt. */
  readonly servingNode: NodeIdentity;
  /** Whether the attempt is proven never to run, so that the key can be bound again. */
  readonly released: boolean;
  /** Epoch of the registry's lease in which the binding was last changed. */
  readonly epoch: number;
  /** Incremented by each change of the binding. */
  readonly version: number;
  /** Wall-clock time of the first binding, in milliseconds since the Unix epoch. */
  readonly boundAtMilliseconds: number;
}
