import type { Clock, HostId } from '@buckthornslip/common';
import type { Member } from '@buckthornslip/membership';

/** Which nodes a relay passes a changed record on to: those of its zone, or the relays of other zones as well. */
export type ChangeScope = 'zone' | 'all-zones';

/** Changed records that a relay passes on together. */
export interface Changes {
  readonly forZone: readonly Member[];
  readonly forOtherZones: readonly Member[];
}

/**
 * Collects changed records for a short time.
 *
 * @internal
 */
export interface ChangeBatch {
  readonly add: (member: Member, scope: ChangeScope) => void;
}

/** Dependencies and settings of a batch. */
interface ChangeBatchOptions {
  readonly clock: Clock;
  /** Time for which changes are collected, in milliseconds. */
  readonly delayMilliseconds: number;
  readonly send: (changes: Changes) => void;
}

/**
 * Creates an empty batch. When a fleet starts, many records change within a second, and a batch costs hardly more to
 * send than one record.
 *
 * @param options - Clock, delay and the function that sends the changes.
 * @returns The batch.
 * @internal
 */
export function createChangeBatch(options: ChangeBatchOptions): ChangeBatch {
  const { clock, delayMilliseconds, send } = options;
  let forZone = new Map<HostId, Member>();
  let forOtherZones = new Map<HostId, Member>();

  const flush = (): void => {
    const changes = {
      forZone: [...forZone.values()],
      forOtherZones: [...forOtherZones.values()],
    };
    forZone = new Map();
    forOtherZones = new Map();
    send(changes);
  };

  return {
    add: (member, scope) => {
      if (forZone.size === 0) clock.setTimer(delayMilliseconds, flush);
      forZone.set(member.host, member);
      if (scope === 'all-zones') forOtherZones.set(member.host, member);
    },
  };
}
