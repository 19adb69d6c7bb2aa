import type { Binding } from './Binding';
import type { IdempotencyReplica } from './IdempotencyReplica';

/**
 * The replicas to which the holder copies its bindings during one epoch.
 *
 * @internal
 */
export interface ReplicaGroup {
  /**
   * Copies all bindings to a replica, at most once per epoch unless the replica falls behind.
   *
   * @returns Whether it has all bindings.
   */
  readonly synchronize: (replica: IdempotencyReplica) => Promise<boolean>;

  /**
   * Copies one binding to all listed candidates, to replicas that may be listed, and to those that are being prepared.
   *
   * @returns The replicas that did not acknowledge it and might become the holder.
   */
  readonly copy: (
    binding: Binding,
    candidates: readonly IdempotencyReplica[],
  ) => Promise<readonly IdempotencyReplica[]>;

  /** Removes a replica that is confirmed not to be listed as a candidate of the lease. */
  readonly remove: (replica: IdempotencyReplica) => void;
}
