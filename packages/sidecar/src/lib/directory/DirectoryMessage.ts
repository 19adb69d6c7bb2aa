import type { Member } from '@buckthornslip/membership';

/**
 * Message of an anti-entropy exchange, in which two nodes compare their member tables.
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
  /** The sender's live members if the digests differ; otherwise empty. */
  readonly members: readonly Member[];
}
