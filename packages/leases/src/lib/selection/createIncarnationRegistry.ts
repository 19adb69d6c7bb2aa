import type { HostId, NodeIdentity } from '@buckthornslip/common';

/**
 * Tracks the latest incarnation seen in each host's slot.
 *
 * @internal
 */
export interface IncarnationRegistry {
  readonly add: (node: NodeIdentity) => void;

  /** @returns Whether a later incarnation runs in the host's slot, so that this process has ended. */
  readonly isSuperseded: (node: NodeIdentity) => boolean;
}

/**
 * @param self - This node; it supersedes earlier incarnations of its host.
 * @internal
 */
export function createIncarnationRegistry(self: NodeIdentity): IncarnationRegistry {
  const latest = new Map<HostId, number>();
  const add = ({ host, incarnation }: NodeIdentity): void => {
    latest.set(host, Math.max(incarnation, latest.get(host) ?? 0));
  };
  add(self);
  return { add, isSuperseded: ({ host, incarnation }) => (latest.get(host) ?? 0) > incarnation };
}
