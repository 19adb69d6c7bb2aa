import type { RetryBudgets } from '@buckthornslip/calls';
import type { ConfigurationFollower } from '@buckthornslip/distribution';
import type { RunningLeaseManager } from '@buckthornslip/leases';
import type { TokenServer } from '@buckthornslip/limits';
import type { MembershipNode } from '@buckthornslip/membership';

import type { IdempotencyRegistries } from '../leases/IdempotencyRegistries';
import type { CallPath } from './CallPath';
import type { PartitionParticipation } from './PartitionParticipation';

/**
 * Components of a node, including those behind its gRPC services.
 *
 * @internal
 */
export interface NodeComponents {
  readonly budgets: RetryBudgets;
  readonly callPath: CallPath;
  readonly configuration: ConfigurationFollower;
  readonly participation: PartitionParticipation;
  readonly registries: IdempotencyRegistries;
  readonly leases: RunningLeaseManager;
  readonly membership: MembershipNode;
  readonly tokenServer: TokenServer;
}
