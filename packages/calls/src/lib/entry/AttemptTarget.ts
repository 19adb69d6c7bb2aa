import type { AttemptId } from '@buckthornslip/common';
import type { Member } from '@buckthornslip/membership';

import type { CallAnswer } from '../http/CallAnswer';

/**
 * The serving node to which an attempt is sent, and the id of the attempt.
 *
 * @internal
 */
export interface AttemptTarget {
  readonly member: Member;
  /** Set for non-repeatable calls. */
  readonly attemptId: AttemptId | undefined;
  /** Whether to ask only for the result of an earlier send, without running the call. */
  readonly joinOnly: boolean;
}

/**
 * The result of sending an attempt to a serving node.
 *
 * @internal
 */
export interface SendResult {
  readonly answer: CallAnswer;
  /** Whether the connection failed or timed out, so that the serving node's answer is unknown. */
  readonly lost: boolean;
  /** Whether any byte may have reached the serving node. */
  readonly sent: boolean;
}
