import type { Suspect } from './Suspect';

/**
 * Requests that ran when the upstream's process failed.
 *
 * @public
 */
export interface SuspectTable {
  /**
   * @param fingerprint - Account, method, target and body digest or idempotency key of the request.
   * @returns "clear", "isolated" to run alone, or "refused".
   */
  readonly classify: (fingerprint: string) => 'clear' | 'isolated' | 'refused';

  /** Counts a call as running at the upstream. */
  readonly begin: (fingerprint: string) => void;

  /** Ends a call; a whole answer proves the request innocent. */
  readonly end: (fingerprint: string, answered: boolean) => void;

  /** Makes suspects of all calls that run now, after the upstream's process failed. */
  readonly upstreamFailed: () => void;

  /** Takes in suspects that another node of the service has found. */
  readonly merge: (suspects: readonly Suspect[]) => void;
}
