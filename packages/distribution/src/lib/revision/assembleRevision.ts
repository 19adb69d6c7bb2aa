import type { Result } from '@buckthornslip/common';
import { failure, success } from '@buckthornslip/common';
import type { Manifest } from '@buckthornslip/config';
import { parseManifest } from '@buckthornslip/config';

import type { KeyRecord } from '../configuration/KeyRecord';
import { foldKeyRecords } from '../keys/foldKeyRecords';
import { decodeKeyRecords } from '../keys/keyRecordsCodec';
import type { ConfigurationHead } from './ConfigurationHead';
import { decompressPart } from './decompressPart';
import type { InstalledRevision } from './InstalledRevision';
import { listParts } from './listParts';
import type { PartReference } from './PartReference';
import type { RevisionError } from './RevisionError';

type Parts = ReadonlyMap<string, Uint8Array>;

function loadPart(part: PartReference, parts: Parts): Result<Buffer, RevisionError> {
  const compressed = parts.get(part.digest);
  if (compressed === undefined) return failure({ kind: 'part-missing', digest: part.digest });
  return decompressPart(compressed, part.digest);
}

function loadManifest(
  part: PartReference,
  parts: Parts,
  previous: InstalledRevision | undefined,
): Result<Manifest, RevisionError> {
  if (previous?.head.manifest.digest === part.digest) return success(previous.snapshot.manifest);
  const content = loadPart(part, parts);
  if (!content.ok) return content;
  const manifest = parseManifest(content.value.toString('utf8'));
  return manifest.ok ? manifest : failure({ kind: 'manifest-invalid', faults: manifest.error });
}

function loadKeyPart(
  part: PartReference,
  parts: Parts,
  previous: InstalledRevision | undefined,
): Result<readonly KeyRecord[], RevisionError> {
  const cached = previous?.keyRecords.get(part.digest);
  if (cached !== undefined) return success(cached);
  const content = loadPart(part, parts);
  return content.ok ? decodeKeyRecords(content.value, part.digest) : content;
}

function loadKeyRecords(
  head: ConfigurationHead,
  parts: Parts,
  previous: InstalledRevision | undefined,
): Result<ReadonlyMap<string, readonly KeyRecord[]>, RevisionError> {
  const loaded = new Map<string, readonly KeyRecord[]>();
  for (const part of head.keys) {
    const records = loadKeyPart(part, parts, previous);
    if (!records.ok) return records;
    loaded.set(part.digest, records.value);
  }
  return success(loaded);
}

function selectParts(
  head: ConfigurationHead,
  parts: Parts,
  previous: InstalledRevision | undefined,
): Result<Parts, RevisionError> {
  const selected = new Map<string, Uint8Array>();
  for (const { digest } of listParts(head)) {
    const compressed = previous?.parts.get(digest) ?? parts.get(digest);
    if (compressed === undefined) return failure({ kind: 'part-missing', digest });
    selected.set(digest, compressed);
  }
  return success(selected);
}

/**
 * Validates a revision and builds its snapshot. Parts that the previous revision contains are not validated again.
 *
 * @param head - Head of the revision.
 * @param headBytes - The same head as encoded in the store.
 * @param newParts - Compressed parts by digest that are not in the previous revision.
 * @param previous - The revision in force, if any.
 * @returns The revision, or the reason why it is invalid.
 * @internal
 */
export function assembleRevision(
  head: ConfigurationHead,
  headBytes: Uint8Array,
  newParts: Parts,
  previous: InstalledRevision | undefined,
): Result<InstalledRevision, RevisionError> {
  const parts = selectParts(head, newParts, previous);
  if (!parts.ok) return parts;
  const manifest = loadManifest(head.manifest, parts.value, previous);
  if (!manifest.ok) return manifest;
  const keyRecords = loadKeyRecords(head, parts.value, previous);
  if (!keyRecords.ok) return keyRecords;
  const keys = foldKeyRecords([...keyRecords.value.values()].flat());
  return success({
    head,
    headBytes: Buffer.from(headBytes),
    snapshot: { revision: head.revision, manifest: manifest.value, keys },
    parts: parts.value,
    keyRecords: keyRecords.value,
  });
}
