import type { Suspect } from './Suspect';

/**
 * Requests that were running when the upstream's process failed, and may have caused the failure.
 *
 * @public
 */
export interface SuspectTable {
  /**
   * @param fingerprint - Account of the request, with its idempotency key or the digest of method, target and body.
   * @returns "clear" to run normally, "isolated" to run alone, or "refused".
   */
  readonly classify: (fingerprint: string) => 'clear' | 'isolated' | 'refused';

  /** Records that a call has started at the upstream. */
  readonly begin: (fingerprint: string) => void;

  /** Records that a call has ended. A complete answer clears the request. */
  readonly end: (fingerprint: string, answered: boolean) => void;

  /** Marks all running calls as suspects after the upstream's process failed. */
  readonly upstreamFailed: () => void;

  /** Merges suspects that another node of the service reported. */
  readonly merge: (suspects: readonly Suspect[]) => void;
}
