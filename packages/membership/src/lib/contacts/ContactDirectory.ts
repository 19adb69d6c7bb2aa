import type { HostId, ZoneId } from '@buckthornslip/common';

import type { MemberRecord } from '../member/MemberRecord';

/**
 * The zone contacts that this node knows. A zone contact is one of up to three nodes of a zone with which the
 * other nodes of the zone register, and which read the contacts of all zones from the store.
 *
 * @internal
 */
export interface ContactDirectory {
  /** Records that contacts are alive now. */
  readonly confirm: (records: readonly MemberRecord[]) => void;
  /** Records that all contacts that count as live are still alive. */
  readonly confirmLive: () => void;
  /** Records that a contact did not answer; after two consecutive failures it no longer counts as live. */
  readonly recordFailure: (host: HostId) => void;
  /**
   * Applies a list of the current contacts. Other nodes in the zones of the list no longer count as live, but
   * their addresses are kept.
   */
  readonly retain: (records: readonly MemberRecord[]) => void;
  /** Removes a node that is no longer a contact. */
  readonly remove: (host: HostId) => void;
  /** Contacts that were recently confirmed. */
  readonly live: () => readonly MemberRecord[];
  readonly liveOf: (zone: ZoneId) => readonly MemberRecord[];
  /** All contacts, including those that were not recently confirmed. */
  readonly all: () => readonly MemberRecord[];
  /** Digest of the live contacts. */
  readonly digest: () => string;
}
