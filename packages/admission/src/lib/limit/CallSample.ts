/**
 * Times and outcome of one ended call, the input of the adaptive limit.
 *
 * @internal
 */
export interface CallSample {
  readonly startedMilliseconds: number;
  readonly endedMilliseconds: number;
  readonly outcome: 'completed' | 'failed' | 'shed' | 'cancelled';
}
