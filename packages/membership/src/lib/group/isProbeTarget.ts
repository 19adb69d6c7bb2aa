import { isDeparted } from '../member/isDeparted';
import type { MemberRecord } from '../member/MemberRecord';

/**
 * @param record - A record.
 * @returns Whether the member is subject to failure detection.
 * @internal
 */
export function isProbeTarget(record: MemberRecord): boolean {
  return !isDeparted(record);
}
