import type { MemberRecord } from './MemberRecord';

/**
 * Tells whether two records look the same to the users of the members. Suspicions and refutations
 * change only the record's liveness and version.
 *
 * @param left - A record, if any.
 * @param right - A record of the same host, if any.
 * @returns Whether nothing changed that users see.
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
