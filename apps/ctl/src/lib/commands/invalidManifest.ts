import type { ConfigurationIssue } from '@buckthornslip/config';

import { exitCodes } from '../exitCodes';
import type { CommandOutcome } from '../output/CommandOutcome';

/**
 * @param source - File or revision of the manifest.
 * @param faults - Errors in the manifest.
 * @returns The outcome that reports all errors.
 * @internal
 */
export function invalidManifest(
  source: string,
  faults: readonly ConfigurationIssue[],
): CommandOutcome {
  return {
    exitCode: exitCodes.invalid,
    lines: faults.map(({ path, message }) => `${source}: ${path}: ${message}`),
    json: { status: 'invalid', faults },
  };
}
