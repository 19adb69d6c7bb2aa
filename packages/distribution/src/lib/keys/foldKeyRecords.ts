import type { KeyRecord } from '../configuration/KeyRecord';

/**
 * @param records - The key log, oldest first.
 * @returns The latest record of each key by digest. A withdrawal is final; later records of the key are ignored.
 * @internal
 */
export function foldKeyRecords(records: Iterable<KeyRecord>): ReadonlyMap<string, KeyRecord> {
  const keys = new Map<string, KeyRecord>();
  for (const record of records) {
    if (keys.get(record.digest)?.state !== 'withdrawn') keys.set(record.digest, record);
  }
  return keys;
}
