import type { AttemptId } from '@buckthornslip/common';
import type { Member } from '@buckthornslip/membership';

import type { CallAnswer } from '../http/CallAnswer';

/**
 * Which node an attempt goes to, and under which id.
 *
 * @internal
 */
export interface AttemptTarget {
  readonly member: Member;
  /** Set for non-repeatable calls. */
  readonly attemptId: AttemptId | undefined;
  /** Whether only the result of an earlier sending is wanted. */
  readonly joinOnly: boolean;
}

/**
 * What came of an attempt.
 *
 * @internal
 */
export interface SendResult {
  readonly answer: CallAnswer;
  /** Whether the connection was lost or silent, so that the serving node's answer is not known. */
  readonly lost: boolean;
  /** Whether any byte may have reached the serving node. */
  readonly sent: boolean;
}
