import type { PartitionId, ServiceId } from '@buckthornslip/common';

import type { IdempotencyRegistry } from '../idempotency/IdempotencyRegistry';
import type { RetryBudgets } from '../retry/RetryBudgets';
import type { SuspectTable } from '../suspects/SuspectTable';

/**
 * What a node's call control service works on.
 *
 * @public
 */
export interface CallControlHandlers {
  readonly budgets: RetryBudgets;
  readonly suspects: SuspectTable;

  /** @returns This node's part in the home of a service, if it has one. */
  readonly findRegistry: (service: ServiceId) => IdempotencyRegistry | undefined;

  /** @returns This node's part in the home with a partition, created if need be. */
  readonly openRegistry: (partition: PartitionId) => IdempotencyRegistry | undefined;
}
