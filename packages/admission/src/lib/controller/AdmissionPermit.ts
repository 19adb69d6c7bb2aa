/**
 * Permission to run one call at the upstream. It holds a slot until it is released.
 *
 * @public
 */
export interface AdmissionPermit {
  /** Time that the call spent in the queue, in milliseconds. */
  readonly queuedMilliseconds: number;

  /**
   * Returns the slot. Further calls have no effect.
   *
   * @param outcome - How the call ended; feeds the adaptive concurrency limit.
   */
  readonly release: (outcome: 'completed' | 'failed' | 'shed' | 'cancelled') => void;
}
