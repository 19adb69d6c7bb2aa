import type { Result } from '@buckthornslip/common';
import { failure, success } from '@buckthornslip/common';

import type { ConfigurationIssue } from '../issues/ConfigurationIssue';
import { listSchemaIssues } from '../issues/listSchemaIssues';
import { readToml } from '../toml/readToml';
import { buildManifest } from './buildManifest';
import { crossCheck } from './checks/crossCheck';
import { readParts } from './checks/readParts';
import type { Manifest } from './Manifest';
import { manifestSchema } from './schemas/manifestSchema';

/**
 * Reads and validates a manifest.
 *
 * @param tomlText - The manifest as TOML.
 * @returns The manifest, or every fault that it has.
 * @public
 */
export function parseManifest(tomlText: string): Result<Manifest, readonly ConfigurationIssue[]> {
  const toml = readToml(tomlText);
  if (!toml.ok) return toml;
  const parsed = manifestSchema.safeParse(toml.value);
  const crossFaults = crossCheck(readParts(toml.value));
  if (!parsed.success) return failure([...listSchemaIssues(parsed.error), ...crossFaults]);
  return crossFaults.length > 0 ? failure(crossFaults) : success(buildManifest(parsed.data));
}
