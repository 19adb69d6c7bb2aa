import type { KeyRecord } from '../configuration/KeyRecord';
import { encodeKeyRecords } from '../keys/keyRecordsCodec';
import type { ConfigurationHead } from '../revision/ConfigurationHead';
import { createNewPart } from './createNewPart';
import type { Draft } from './Draft';

/**
 * Records in one part of the key log. Only the last part changes with a grant or withdrawal, so this bounds what each
 * change sends to every node: about 40 KB when the part is full.
 */
const MAX_RECORDS_PER_PART = 512;

/**
 * @param head - The current head.
 * @param lastRecords - Records of the last part of its key log; empty if there is no part.
 * @param record - Record to append.
 * @param copy - Name of this publication's copies.
 * @returns The draft with the longer key log.
 * @internal
 */
export function appendKeyRecord(
  head: ConfigurationHead,
  lastRecords: readonly KeyRecord[],
  record: KeyRecord,
  copy: string,
): Draft {
  const isFull = lastRecords.length >= MAX_RECORDS_PER_PART;
  const records = isFull ? [record] : [...lastRecords, record];
  const part = createNewPart('keys', encodeKeyRecords(records), copy);
  const kept = isFull ? head.keys : head.keys.slice(0, -1);
  return { manifest: head.manifest, keys: [...kept, part.reference], newParts: [part] };
}
