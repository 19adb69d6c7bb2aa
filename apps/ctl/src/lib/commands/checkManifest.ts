import { exitCodes } from '../exitCodes';
import type { CommandOutcome } from '../output/CommandOutcome';
import type { CommandContext } from './CommandContext';
import { readManifestFile } from './readManifestFile';

/**
 * `manifest check`: validates a manifest without the store.
 *
 * @param context - Context of the command.
 * @returns The outcome.
 * @internal
 */
export async function checkManifest(context: CommandContext): Promise<CommandOutcome> {
  const read = await readManifestFile(context);
  if (!read.ok) return read.error;
  const { release, services, routes, accounts } = read.value.manifest;
  const counts = { services: services.size, routes: routes.length, accounts: accounts.size };
  const summary = Object.entries(counts)
    .map(([name, count]) => `${count} ${name}`)
    .join(', ');
  return {
    exitCode: exitCodes.ok,
    lines: [`${context.arguments.file} is valid: release ${release}, ${summary}`],
    json: { status: 'valid', release, ...counts },
  };
}
