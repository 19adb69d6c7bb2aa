import type { HostId, Incarnation } from '@buckthornslip/common';

import type { MemberRecord } from '../member/MemberRecord';

/**
 * The nodes that recently registered with this contact.
 *
 * @internal
 */
export interface RegistrationTable {
  /** Stores a full record and renews its registration. */
  readonly put: (record: MemberRecord) => void;
  /** Renews a registration; returns false if this version of the record is not known. */
  readonly renew: (host: HostId, incarnation: Incarnation, version: number) => boolean;
  readonly get: (host: HostId) => MemberRecord | undefined;
  readonly records: () => readonly MemberRecord[];
}
