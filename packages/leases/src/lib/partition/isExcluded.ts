import type { NodeIdentity } from '@buckthornslip/common';

import type { LeaseContext } from './LeaseContext';
import { nodeKey } from './nodeKey';
import type { PartitionState } from './PartitionState';

/**
 * @returns Whether a candidate was removed on request and must not be chosen again yet.
 * @internal
 */
export function isExcluded(
  { clock }: LeaseContext,
  { excluded }: PartitionState,
  node: NodeIdentity,
): boolean {
  return (excluded.get(nodeKey(node)) ?? 0) > clock.monotonicMilliseconds();
}
