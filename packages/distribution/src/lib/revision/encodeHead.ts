import type { ConfigurationHead } from './ConfigurationHead';

/**
 * @param head - Head of a revision.
 * @returns Its encoding in the store and in messages.
 * @internal
 */
export function encodeHead(head: ConfigurationHead): Buffer {
  return Buffer.from(JSON.stringify(head));
}
