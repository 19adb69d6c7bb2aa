import type { PartitionId, ServiceId } from '@buckthornslip/common';

import type { IdempotencyRegistry } from '../idempotency/IdempotencyRegistry';
import type { RetryBudgets } from '../retry/RetryBudgets';
import type { SuspectTable } from '../suspects/SuspectTable';

/**
 * The state behind a node's call control service.
 *
 * @public
 */
export interface CallControlHandlers {
  readonly budgets: RetryBudgets;
  readonly suspects: SuspectTable;

  /** @returns This node's idempotency registry of a service, if it has one. */
  readonly findRegistry: (service: ServiceId) => IdempotencyRegistry | undefined;

  /** @returns This node's idempotency registry of a partition, created if necessary. */
  readonly openRegistry: (partition: PartitionId) => IdempotencyRegistry | undefined;
}
