import type { KeyRecord } from '../configuration/KeyRecord';
import { encodeKeyRecords } from '../keys/keyRecordsCodec';
import type { ConfigurationHead } from '../revision/ConfigurationHead';
import { createNewPart } from './createNewPart';
import type { Draft } from './Draft';

/**
 * Maximum number of records in one part of the key log. A grant or withdrawal rewrites only the last part, so this
 * bounds the data that each change sends to every node: about 40 KB when the part is full.
 */
const MAXIMUM_RECORDS_PER_PART = 512;

/**
 * @param head - The current head.
 * @param lastRecords - Records of the last part of its key log; empty if the log is empty.
 * @param record - Record to append.
 * @param copy - Copy name of this publication, part of its store keys.
 * @returns A draft with the record appended to the key log.
 * @internal
 */
export function appendKeyRecord(
  head: ConfigurationHead,
  lastRecords: readonly KeyRecord[],
  record: KeyRecord,
  copy: string,
): Draft {
  const isFull = lastRecords.length >= MAXIMUM_RECORDS_PER_PART;
  const records = isFull ? [record] : [...lastRecords, record];
  const part = createNewPart('keys', encodeKeyRecords(records), copy);
  const kept = isFull ? head.keys : head.keys.slice(0, -1);
  return { manifest: head.manifest, keys: [...kept, part.reference], newParts: [part] };
}
