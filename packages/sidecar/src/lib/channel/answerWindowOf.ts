import type { channelMessages } from '@buckthornslip/wire';

import { FULL_ANSWER_WINDOW_BYTES } from '../serving/FULL_ANSWER_WINDOW_BYTES';

/**
 * @param message - A call message.
 * @returns Bytes of the answer's body that its entry node accepts before it grants credit; a node of an earlier release states none.
 * @internal
 */
export function answerWindowOf({ answerWindowBytes }: channelMessages.Call): number {
  return answerWindowBytes > 0 ? answerWindowBytes : FULL_ANSWER_WINDOW_BYTES;
}
