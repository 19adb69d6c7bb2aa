/**
 * Right to run one call at the upstream.
 *
 * @public
 */
export interface AdmissionPermit {
  /** Time that the call waited, in milliseconds. */
  readonly queuedMilliseconds: number;

  /**
   * Gives the slot back. Further calls have no effect.
   *
   * @param outcome - How the call ended, for the adaptive limit.
   */
  readonly release: (outcome: 'completed' | 'failed' | 'shed' | 'cancelled') => void;
}
