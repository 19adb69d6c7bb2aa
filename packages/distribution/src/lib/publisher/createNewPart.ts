import { compressPart } from '../revision/compressPart';
import { partDigest } from '../revision/partDigest';
import type { PartReference } from '../revision/PartReference';
import { CHUNK_BYTES } from './CHUNK_BYTES';
import type { NewPart } from './NewPart';

/**
 * @param kind - Kind of the content.
 * @param content - Uncompressed content.
 * @param copy - Copy name of this publication, part of its store keys.
 * @returns The compressed part with its reference.
 * @internal
 */
export function createNewPart(
  kind: PartReference['kind'],
  content: Uint8Array,
  copy: string,
): NewPart {
  const compressed = compressPart(content);
  const chunks = Math.ceil(compressed.length / CHUNK_BYTES);
  return { compressed, reference: { kind, digest: partDigest(content), copy, chunks } };
}
