import { livenessPrecedence } from './livenessPrecedence';
import type { MemberRecord } from './MemberRecord';

/**
 * Order of the records of one host: by incarnation, then version, then liveness. As a node never uses
 * a version twice, equal records are the same.
 *
 * @param left - A record.
 * @param right - A record of the same host.
 * @returns Less than 0 if the left record is older, more than 0 if it is newer.
 * @internal
 */
export function compareRecords(left: MemberRecord, right: MemberRecord): number {
  return (
    left.incarnation - right.incarnation ||
    left.version - right.version ||
    livenessPrecedence[left.liveness] - livenessPrecedence[right.liveness]
  );
}
