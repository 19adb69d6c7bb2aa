import type { ConfigurationIssue } from '@buckthornslip/config';

import { exitCodes } from '../exitCodes';
import type { CommandOutcome } from '../output/CommandOutcome';

/**
 * @param source - File or revision that the manifest comes from.
 * @param faults - What is wrong with it.
 * @returns The outcome that lists all faults.
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
