import type { Member } from '@buckthornslip/membership';
import type { StoreEra } from '@buckthornslip/platform';

import type { EvacuationStatement } from '../evacuation/EvacuationStatement';

/**
 * Message between two nodes: either an anti-entropy exchange, in which they compare their member tables, or an update that
 * only passes changes on.
 *
 * @internal
 */
export interface DirectoryMessage {
  /** Member record of the sender. */
  readonly from: Member;
  /** Digest of the sender's member table. */
  readonly digest: string;
  /** Revision of the sender's current policy; 0 if it has none. */
  readonly policyRevision: number;
  /** Time since the store confirmed that no newer policy exists, in milliseconds; Infinity if the sender does not know it. */
  readonly policyAgeMilliseconds: number;
  /** Evacuated zones that the sender knows; undefined if there are none, unless the receiver may not know that. */
  readonly evacuations: EvacuationStatement | undefined;
  /** Changed records in an update. In the answer to an exchange, all records if the digests differ. */
  readonly members: readonly Member[];
  readonly isUpdate: boolean;
  /** Highest era that the store has stated to the sender; 0 if it has stated none. */
  readonly storeEra: StoreEra;
}
