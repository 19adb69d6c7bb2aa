import type { KeyId } from '@buckthornslip/common';

import type { CommandOutcome } from '../output/CommandOutcome';
import type { CommandContext } from './CommandContext';
import { reportPublication } from './reportPublication';

/**
 * `key withdraw`: withdraws a key permanently.
 *
 * @param context - Context of the command.
 * @returns The outcome.
 * @internal
 */
export async function withdrawKey(context: CommandContext): Promise<CommandOutcome> {
  const result = await context.publisher.withdrawKey(context.arguments.keyId as KeyId);
  return reportPublication(context, result);
}
