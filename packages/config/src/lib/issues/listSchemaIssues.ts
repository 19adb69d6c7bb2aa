import type * as z from 'zod';

import type { ConfigurationIssue } from './ConfigurationIssue';
import { formatPath } from './formatPath';

function describeIssue(issue: z.core.$ZodIssue): readonly ConfigurationIssue[] {
  if (issue.code === 'unrecognized_keys') {
    return issue.keys.map((key) => ({
      path: formatPath([...issue.path, key]),
      message: 'unknown setting',
    }));
  }
  if (issue.code === 'invalid_key') {
    const reasons = issue.issues.map((inner) => inner.message).join('; ');
    return [{ path: formatPath(issue.path), message: `invalid name: ${reasons}` }];
  }
  return [{ path: formatPath(issue.path), message: issue.message }];
}

/**
 * @param error - Every issue that the schema found in one document.
 * @returns The same issues as faults.
 * @internal
 */
export function listSchemaIssues(error: z.ZodError): readonly ConfigurationIssue[] {
  return error.issues.flatMap(describeIssue);
}
