import type { Result } from '@buckthornslip/common';
import { failure, success } from '@buckthornslip/common';

import type { ConfigurationIssue } from '../issues/ConfigurationIssue';
import { listSchemaIssues } from '../issues/listSchemaIssues';
import { readToml } from '../toml/readToml';
import { buildManifest } from './buildManifest';
import { checkConsistency } from './checks/checkConsistency';
import { readValidEntries } from './checks/readValidEntries';
import type { Manifest } from './Manifest';
import { manifestSchema } from './schemas/manifestSchema';

/**
 * Parses and validates a manifest.
 *
 * @param tomlText - The manifest as TOML.
 * @returns The manifest, or all its issues.
 * @public
 */
export function parseManifest(tomlText: string): Result<Manifest, readonly ConfigurationIssue[]> {
  const toml = readToml(tomlText);
  if (!toml.ok) return toml;
  const parsed = manifestSchema.safeParse(toml.value);
  const consistencyIssues = checkConsistency(readValidEntries(toml.value));
  if (!parsed.success) return failure([...listSchemaIssues(parsed.error), ...consistencyIssues]);
  return consistencyIssues.length > 0
    ? failure(consistencyIssues)
    : success(buildManifest(parsed.data));
}
