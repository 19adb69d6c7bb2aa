import type { AccountId } from '@buckthornslip/common';

import { exitCodes } from '../exitCodes';
import type { CommandOutcome } from '../output/CommandOutcome';
import type { CommandContext } from './CommandContext';
import { reportPublication } from './reportPublication';

/**
 * `key grant`: grants a new key and prints it. A key is never shown again. If the outcome is unknown, the key is not
 * printed; the operator can withdraw it by its id if it turns out to have been granted.
 *
 * @param context - Context of the command.
 * @returns The outcome.
 * @internal
 */
export async function grantKey(context: CommandContext): Promise<CommandOutcome> {
  const { account } = context.arguments;
  const { key, keyId, result } = await context.publisher.grantKey(account as AccountId);
  const outcome = await reportPublication(context, result);
  const { lines, json } = outcome;
  if (result.kind === 'published') {
    return {
      ...outcome,
      lines: [`key id: ${keyId}`, `key: ${key}`, ...lines],
      json: { ...json, keyId, account, key },
    };
  }
  if (outcome.exitCode !== exitCodes.unknown) return outcome;
  const advice = `if "key list" shows key ${keyId}, withdraw it and grant another one`;
  return { ...outcome, lines: [...lines, advice], json: { ...json, keyId, account } };
}
