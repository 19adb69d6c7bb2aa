import type { NodeIdentity } from '@buckthornslip/common';

/**
 * @returns Key that identifies a node process in maps and sets.
 * @internal
 */
export function nodeKey({ host, incarnation }: NodeIdentity): string {
  return `${host}@${incarnation}`;
}
