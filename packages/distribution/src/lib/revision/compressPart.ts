import { deflateSync } from 'node:zlib';

/**
 * @param content - Content of a part.
 * @returns The content, compressed.
 * @internal
 */
export function compressPart(content: Uint8Array): Buffer {
  // Synchronous compression is acceptable here: only publishers compress, once per publication.
  // eslint-disable-next-line n/no-sync
  return deflateSync(content);
}
