import type { RetryBudgets } from '@buckthornslip/calls';
import type { ConfigurationFollower } from '@buckthornslip/distribution';
import type { RunningLeaseManager } from '@buckthornslip/leases';
import type { TokenServer } from '@buckthornslip/limits';
import type { MembershipNode } from '@buckthornslip/membership';

import type { HomeRegistry } from '../leases/HomeRegistry';
import type { CallPath } from './CallPath';
import type { PartitionDuties } from './PartitionDuties';

/**
 * Parts of a node that answer other nodes.
 *
 * @internal
 */
export interface NodeParts {
  readonly budgets: RetryBudgets;
  readonly callPath: CallPath;
  readonly configuration: ConfigurationFollower;
  readonly duties: PartitionDuties;
  readonly homes: HomeRegistry;
  readonly leases: RunningLeaseManager;
  readonly membership: MembershipNode;
  readonly shareHolder: TokenServer;
}
