import type { LeaseRecord } from '../manager/LeaseRecord';

/**
 * @param record - The record.
 * @returns Store value of the record, encoded as JSON.
 * @internal
 */
export function encodeLeaseRecord(record: LeaseRecord): Uint8Array {
  return Buffer.from(JSON.stringify(record));
}
