import type { Member } from '@buckthornslip/membership';

/**
 * What two nodes tell each other when they compare their tables.
 *
 * @internal
 */
export interface DirectoryMessage {
  /** Record of the sender. */
  readonly from: Member;
  /** Digest of the sender's table. */
  readonly digest: string;
  /** Revision of the policy in force at the sender; 0 if it has none. */
  readonly policyRevision: number;
  /** The sender's table, if the digests differ; otherwise empty. */
  readonly members: readonly Member[];
}
