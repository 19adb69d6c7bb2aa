import type { CallAnswer } from '../http/CallAnswer';
import type { RoutedCall } from './RoutedCall';

/**
 * Sends calls to serving nodes and retries them.
 *
 * @public
 */
export interface CallForwarder {
  /** Sends a call, with retries, until it is answered, refused with no retry allowed, or out of retries. */
  readonly forward: (call: RoutedCall) => Promise<CallAnswer>;
  /** Closes the idle connections to peers. */
  readonly close: () => void;
}
