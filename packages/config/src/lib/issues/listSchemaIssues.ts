import type * as z from 'zod';

import type { ConfigurationIssue } from './ConfigurationIssue';
import { formatPath } from './formatPath';

function toConfigurationIssues(issue: z.core.$ZodIssue): readonly ConfigurationIssue[] {
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
 * @param error - Error with all issues that zod found in a document.
 * @returns The same issues as configuration issues.
 * @internal
 */
export function listSchemaIssues(error: z.ZodError): readonly ConfigurationIssue[] {
  return error.issues.flatMap(toConfigurationIssues);
}
