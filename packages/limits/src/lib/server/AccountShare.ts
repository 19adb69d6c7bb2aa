import type { AccountDefinition } from '@buckthornslip/config';

import type { DemandByRegion } from './createDemandByRegion';
import type { ShareBucket } from './ShareBucket';

/**
 * Share of one account at its holder.
 *
 * @internal
 */
export interface AccountShare {
  readonly bucket: ShareBucket;
  readonly demand: DemandByRegion;
  /** @returns The part in use, in millionths. */
  readonly part: () => number;
  /** Applies a part or a changed definition at once. */
  readonly apply: (definition: AccountDefinition, part: number) => void;
  /** Applies a changed definition and keeps the part. */
  readonly redefine: (definition: AccountDefinition) => void;
}
