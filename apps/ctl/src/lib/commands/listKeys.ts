import { exitCodes } from '../exitCodes';
import type { CommandOutcome } from '../output/CommandOutcome';
import { formatTable } from '../output/formatTable';
import type { CommandContext } from './CommandContext';
import { refusalOutcome } from './refusalOutcome';

/**
 * `key list`: lists the id, account and state of all keys, but not the keys themselves.
 *
 * @param context - Context of the command.
 * @returns The outcome.
 * @internal
 */
export async function listKeys(context: CommandContext): Promise<CommandOutcome> {
  const listed = await context.publisher.listKeys();
  if (!listed.ok) return refusalOutcome(listed.error);
  const keys = listed.value.map(({ id, account, state }) => ({ id, account, state }));
  const rows = keys.map(({ id, account, state }) => [id, account, state]);
  return {
    exitCode: exitCodes.ok,
    lines: formatTable(['KEY ID', 'ACCOUNT', 'STATE'], rows),
    json: { keys },
  };
}
