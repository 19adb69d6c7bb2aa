/**
 * Definition of a log event.
 *
 * @public
 */
export interface EventDefinition {
  /** Unique number of the event; numbers of removed events are not reused. */
  readonly number: number;
  readonly level: 'debug' | 'info' | 'warn' | 'error';
  /** Message for people; details are in the fields. */
  readonly message: string;
  /** What an operator should do, if action is needed. */
  readonly action?: string;
  /** Whether the event occurs once or more for each call, so that its volume grows with the load. */
  readonly perCall?: true;
}
