import type { CommandOutcome } from '../output/CommandOutcome';
import type { CommandContext } from './CommandContext';
import { readManifestFile } from './readManifestFile';
import { reportPublication } from './reportPublication';

/**
 * `manifest publish`: publishes a manifest as the current one.
 *
 * @param context - Context of the command.
 * @returns The outcome.
 * @internal
 */
export async function publishManifest(context: CommandContext): Promise<CommandOutcome> {
  const read = await readManifestFile(context);
  if (!read.ok) return read.error;
  const { requireRevision } = context.arguments;
  const result = await context.publisher.publishManifest(read.value.text, requireRevision);
  return reportPublication(context, result);
}
