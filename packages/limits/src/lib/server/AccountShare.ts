import type { AccountDefinition } from '@buckthornslip/config';

import type { DemandByRegion } from './createDemandByRegion';
import type { ShareBucket } from './ShareBucket';

/**
 * A region's share of one account at its token server.
 *
 * @internal
 */
export interface AccountShare {
  readonly bucket: ShareBucket;
  readonly demand: DemandByRegion;
  /** @returns The applied part of the account's limit, in millionths. */
  readonly part: () => number;
  /** Applies a part and a definition at once. */
  readonly apply: (definition: AccountDefinition, part: number) => void;
  /** Applies a changed definition with the current part. */
  readonly redefine: (definition: AccountDefinition) => void;
}
