/**
 * End of one call, as the adaptive limit sees it.
 *
 * @internal
 */
export interface CallSample {
  readonly startedMilliseconds: number;
  readonly endedMilliseconds: number;
  readonly outcome: 'completed' | 'failed' | 'shed' | 'cancelled';
}
