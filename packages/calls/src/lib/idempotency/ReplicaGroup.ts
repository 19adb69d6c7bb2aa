import type { Binding } from './Binding';
import type { IdempotencyReplica } from './IdempotencyReplica';

/**
 * The replicas to which a home copies its bindings in one epoch.
 *
 * @internal
 */
export interface ReplicaGroup {
  /**
   * Brings a replica up to date, once in the epoch.
   *
   * @returns Whether it has all bindings.
   */
  readonly synchronize: (replica: IdempotencyReplica) => Promise<boolean>;

  /**
   * Copies one binding to all listed candidates, to those that may be listed, and to those that are being prepared.
   *
   * @returns The replicas that did not acknowledge it and may become the home.
   */
  readonly copy: (
    binding: Binding,
    candidates: readonly IdempotencyReplica[],
  ) => Promise<readonly IdempotencyReplica[]>;

  /** Drops a replica that the lease has confirmed not to list. */
  readonly remove: (replica: IdempotencyReplica) => void;
}
