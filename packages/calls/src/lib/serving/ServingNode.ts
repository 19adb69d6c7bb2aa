import type { CallAnswer } from '../http/CallAnswer';
import type { ServingCall } from './ServingCall';

/**
 * Runs calls at this node's local upstream.
 *
 * @public
 */
export interface ServingNode {
  /** Admits and runs a call. The body of the answer may still be arriving when the promise resolves. */
  readonly serve: (call: ServingCall) => Promise<CallAnswer>;
}
