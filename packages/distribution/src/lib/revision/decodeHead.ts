import type { Result } from '@buckthornslip/common';
import { failure, success } from '@buckthornslip/common';

import { type ConfigurationHead, headSchema } from './ConfigurationHead';
import type { RevisionError } from './RevisionError';

function parseJson(bytes: Uint8Array): unknown {
  try {
    return JSON.parse(Buffer.from(bytes).toString('utf8'));
  } catch {
    return undefined;
  }
}

/**
 * @param bytes - An encoded head.
 * @returns The head, or an error if the bytes are not a valid head.
 * @internal
 */
export function decodeHead(bytes: Uint8Array): Result<ConfigurationHead, RevisionError> {
  const parsed = headSchema.safeParse(parseJson(bytes));
  return parsed.success ? success(parsed.data) : failure({ kind: 'head-malformed' });
}
