import { parseManifest } from '@buckthornslip/config';

import { exitCodes } from '../exitCodes';
import { compareManifests } from '../manifest/compareManifests';
import type { Difference } from '../manifest/Difference';
import type { CommandOutcome } from '../output/CommandOutcome';
import type { CommandContext } from './CommandContext';
import { invalidManifest } from './invalidManifest';
import { readManifestFile } from './readManifestFile';
import { refusalOutcome } from './refusalOutcome';

function formatDifference({ path, before, after }: Difference): string {
  if (before === undefined) return `+ ${path} = ${JSON.stringify(after)}`;
  if (after === undefined) return `- ${path} = ${JSON.stringify(before)}`;
  return `~ ${path}: ${JSON.stringify(before)} -> ${JSON.stringify(after)}`;
}

/**
 * `manifest diff`: shows the changes that publishing a file would make.
 *
 * @param context - Context of the command.
 * @returns The outcome.
 * @internal
 */
export async function diffManifest(context: CommandContext): Promise<CommandOutcome> {
  const read = await readManifestFile(context);
  if (!read.ok) return read.error;
  const published = await context.publisher.read();
  if (!published.ok) return refusalOutcome(published.error);
  if (published.value === undefined) return refusalOutcome({ kind: 'manifest-missing' });
  const { revision, manifestText } = published.value;
  const current = parseManifest(manifestText);
  if (!current.ok) return invalidManifest(`revision ${revision}`, current.error);
  const differences = compareManifests(current.value, read.value.manifest);
  const isSame = differences.length === 0;
  return {
    exitCode: exitCodes.ok,
    lines: isSame ? [`no difference to revision ${revision}`] : differences.map(formatDifference),
    json: { revision, differences },
  };
}
