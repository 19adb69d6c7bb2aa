import type { MemberRecord } from './MemberRecord';

/**
 * Compares the fields of two records that users of the membership see. Suspicions and refutations change
 * only the liveness and the version of a record, which are not visible.
 *
 * @param left - A record, if any.
 * @param right - A record of the same host, if any.
 * @returns Whether all visible fields are equal.
 * @internal
 */
export function hasSameVisibleFields(
  left: MemberRecord | undefined,
  right: MemberRecord | undefined,
): boolean {
  if (!left || !right) return left === right;
  return (
    left.incarnation === right.incarnation &&
    left.service === right.service &&
    left.state === right.state &&
    left.slots === right.slots &&
    left.connections === right.connections &&
    left.peerAddress === right.peerAddress &&
    left.controlAddress === right.controlAddress &&
    (left.liveness === 'dead') === (right.liveness === 'dead')
  );
}
