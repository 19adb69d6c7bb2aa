import type { Clock, RandomSource, RegionId, ZoneId } from '@buckthornslip/common';
import type { Membership } from '@buckthornslip/membership';
import type { EventLogger } from '@buckthornslip/telemetry';

import type { LinkBudgetSettings } from '../link/LinkBudgetSettings';
import type { RouterSettings } from './RouterSettings';

/**
 * Options of a router.
 *
 * @public
 */
export interface RouterOptions {
  readonly region: RegionId;
  readonly zone: ZoneId;
  readonly membership: Pick<Membership, 'members' | 'changes' | 'waitForMembers' | 'suspect'>;
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly logger: EventLogger;
  /**
   * Returns this node's part of the budget of the link to another region.
   *
   * @param region - The other region.
   * @returns This node's budget for the region pair.
   */
  readonly linkBudget: (region: RegionId) => LinkBudgetSettings;
  /** Overrides individual default settings. */
  readonly settings?: Partial<RouterSettings>;
}
