import type { Result } from '@buckthornslip/common';
import { failure, success } from '@buckthornslip/common';
import type { Manifest } from '@buckthornslip/config';
import { parseManifest } from '@buckthornslip/config';

import { exitCodes } from '../exitCodes';
import type { CommandOutcome } from '../output/CommandOutcome';
import type { CommandContext } from './CommandContext';
import { invalidManifest } from './invalidManifest';

/**
 * @param context - Context of the command, whose arguments name the file.
 * @returns The manifest and its text, or the outcome that reports the errors.
 * @internal
 */
export async function readManifestFile(
  context: CommandContext,
): Promise<Result<{ readonly text: string; readonly manifest: Manifest }, CommandOutcome>> {
  const { file } = context.arguments;
  const text = await context.environment.readFile(file).catch(() => undefined);
  if (text === undefined) {
    const message = `${file} cannot be read`;
    const json = { status: 'invalid', message };
    return failure({ exitCode: exitCodes.invalid, lines: [message], json });
  }
  const manifest = parseManifest(text);
  if (!manifest.ok) return failure(invalidManifest(file, manifest.error));
  return success({ text, manifest: manifest.value });
}
