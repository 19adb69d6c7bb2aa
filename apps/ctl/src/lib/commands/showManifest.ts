import { exitCodes } from '../exitCodes';
import type { CommandOutcome } from '../output/CommandOutcome';
import type { CommandContext } from './CommandContext';
import { refusalOutcome } from './refusalOutcome';

/**
 * `manifest show`: prints the current manifest. The revision is printed as a comment, so that the output is a valid
 * manifest.
 *
 * @param context - Context of the command.
 * @returns The outcome.
 * @internal
 */
export async function showManifest(context: CommandContext): Promise<CommandOutcome> {
  const published = await context.publisher.read();
  if (!published.ok) return refusalOutcome(published.error);
  if (published.value === undefined) return refusalOutcome({ kind: 'manifest-missing' });
  const { revision, manifestText, keys } = published.value;
  return {
    exitCode: exitCodes.ok,
    lines: [`# revision ${revision}`, manifestText.trimEnd()],
    json: { revision, manifest: manifestText, keys: keys.length },
  };
}
