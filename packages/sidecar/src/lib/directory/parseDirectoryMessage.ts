import type { Member } from '@buckthornslip/membership';

import type { DirectoryMessage } from './DirectoryMessage';
import { parseMember } from './parseMember';

/**
 * @param text - Body of a message between nodes.
 * @returns The message, or undefined if it is malformed. Malformed records within it are left out.
 * @internal
 */
export function parseDirectoryMessage(text: string): DirectoryMessage | undefined {
  let value: Partial<Record<keyof DirectoryMessage, unknown>>;
  try {
    value = JSON.parse(text) as typeof value;
  } catch {
    return undefined;
  }
  const from = parseMember(value?.from);
  if (!from || typeof value.digest !== 'string' || !Number.isFinite(value.policyRevision)) {
    return undefined;
  }
  const message = { from, digest: value.digest, policyRevision: value.policyRevision as number };
  if (!Array.isArray(value.members)) return message;
  const members = value.members.map(parseMember).filter((one): one is Member => one !== undefined);
  return { ...message, members };
}
