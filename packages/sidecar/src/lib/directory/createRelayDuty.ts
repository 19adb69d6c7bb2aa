import type { Clock } from '@buckthornslip/common';
import type { EventLogger } from '@buckthornslip/telemetry';

import { directoryTimes } from './directoryTimes';

/** Interval at which the duty is decided again, in milliseconds. */
const CHECK_MILLISECONDS = 500;

/**
 * Decides whether this node follows the policy in the store: the relays of a zone do, and each node whose relays do not
 * answer.
 *
 * @internal
 */
export interface RelayDuty {
  readonly recordRelayContact: () => void;
  /** @param onRelay - Called each time this node becomes a relay. */
  readonly start: (onRelay: () => void) => void;
  readonly close: () => void;
}

/** Dependencies of the decision. */
interface RelayDutyOptions {
  readonly clock: Clock;
  readonly logger: EventLogger;
  readonly isRelay: () => boolean;
  /** Whether the node follows the policy until it has decided. A node that restarts needs the policy at once. */
  readonly followsAtStart: boolean;
  readonly onFollowPolicy: (follows: boolean) => void;
}

/**
 * Creates the decision. A node does not decide right after its start, because it would take itself for a relay until it
 * has read the records of its zone.
 *
 * @param options - Clock, logger, and functions that read the role and apply the decision.
 * @returns The decision, not yet started.
 * @internal
 */
export function createRelayDuty(options: RelayDutyOptions): RelayDuty {
  const { clock, followsAtStart, isRelay, logger, onFollowPolicy } = options;
  let lastContactMilliseconds = clock.monotonicMilliseconds();
  let wasRelay = false;
  let follows = followsAtStart;
  let isClosed = false;

  const decide = (onRelay: () => void): void => {
    const relay = isRelay();
    const silenceMilliseconds = clock.monotonicMilliseconds() - lastContactMilliseconds;
    const isAbandoned = silenceMilliseconds > directoryTimes.relayTimeout;
    const next = relay || isAbandoned;
    if (relay && !wasRelay) onRelay();
    if (next !== follows) {
      logger.log('policyDutyChanged', { follows: next, isRelay: relay, silenceMilliseconds });
      onFollowPolicy(next);
    }
    wasRelay = relay;
    follows = next;
  };

  const run = async (onRelay: () => void): Promise<void> => {
    await clock.sleep(directoryTimes.firstRoleDelay);
    while (!isClosed) {
      decide(onRelay);
      await clock.sleep(CHECK_MILLISECONDS);
    }
  };

  return {
    recordRelayContact: () => {
      lastContactMilliseconds = clock.monotonicMilliseconds();
    },
    start: (onRelay) => {
      lastContactMilliseconds = clock.monotonicMilliseconds();
      if (followsAtStart) onFollowPolicy(true);
      void run(onRelay);
    },
    close: () => {
      isClosed = true;
    },
  };
}
