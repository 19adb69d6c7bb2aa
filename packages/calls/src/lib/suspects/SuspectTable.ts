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

  /** @returns Whether no request may be a suspect. */
  readonly isEmpty: () => boolean;

  /** @returns Upstream failures while the request was running, as far as they are remembered. */
  readonly failuresOf: (fingerprint: string) => number;

  /** @returns Suspects with at least so many failures, for nodes that may not know them. */
  readonly list: (minimumFailures: number) => readonly Suspect[];

  /** Records that a call has started at the upstream. */
  readonly begin: (fingerprint: string) => void;

  /** Records that a call has ended. A complete answer clears the request of the failures that are known so far. */
  readonly end: (fingerprint: string, answered: boolean) => void;

  /**
   * Marks all running calls as suspects after the upstream's process failed.
   *
   * @param failureId - Identifies the failure, if other nodes may report it too.
   */
  readonly upstreamFailed: (failureId?: string) => void;

  /** Merges suspects that another node of the service reported. */
  readonly merge: (suspects: readonly Suspect[]) => void;
}
