import type { Result } from '@buckthornslip/common';
import { failure, success } from '@buckthornslip/common';
import { parse, TomlError } from 'smol-toml';

import type { ConfigurationIssue } from '../issues/ConfigurationIssue';

/**
 * @param text - A TOML document.
 * @returns The root table, or the syntax error as an issue.
 * @internal
 */
export function readToml(
  text: string,
): Result<Readonly<Record<string, unknown>>, readonly ConfigurationIssue[]> {
  try {
    return success(parse(text));
  } catch (error) {
    if (!(error instanceof TomlError)) throw error;
    const [firstLine = 'invalid TOML'] = error.message.split('\n');
    return failure([
      { path: `line ${error.line}, column ${error.column}`, message: firstLine.trim() },
    ]);
  }
}
