import type { NodeIdentity } from './NodeIdentity';

/**
 * @param left - A node process.
 * @param right - A node process to compare it with.
 * @returns Whether they are the same process.
 * @public
 */
export function isSameNode(left: NodeIdentity, right: NodeIdentity): boolean {
  return left.host === right.host && left.incarnation === right.incarnation;
}
