import { livenessPrecedence } from './livenessPrecedence';
import type { MemberRecord } from './MemberRecord';

/**
 * Orders records of one host by incarnation, then version, then liveness. A node never uses a version
 * twice, so records that compare as equal are identical.
 *
 * @param left - A record.
 * @param right - A record of the same host.
 * @returns A negative number if the left record is older, a positive one if it is newer.
 * @internal
 */
export function compareRecords(left: MemberRecord, right: MemberRecord): number {
  return (
    left.incarnation - right.incarnation ||
    left.version - right.version ||
    livenessPrecedence[left.liveness] - livenessPrecedence[right.liveness]
  );
}
