import type { HostId, NodeIdentity } from '@buckthornslip/common';

/**
 * The latest incarnation seen in each host's slot.
 *
 * @internal
 */
export interface IncarnationRegistry {
  readonly note: (node: NodeIdentity) => void;

  /** @returns Whether a later incarnation in its host's slot proves that the node is gone. */
  readonly isSuperseded: (node: NodeIdentity) => boolean;
}

/**
 * @param self - This node, which is itself proof that earlier incarnations of its host are gone.
 * @internal
 */
export function createIncarnationRegistry(self: NodeIdentity): IncarnationRegistry {
  const latest = new Map<HostId, number>();
  const note = ({ host, incarnation }: NodeIdentity): void => {
    latest.set(host, Math.max(incarnation, latest.get(host) ?? 0));
  };
  note(self);
  return { note, isSuperseded: ({ host, incarnation }) => (latest.get(host) ?? 0) > incarnation };
}
