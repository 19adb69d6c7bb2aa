import type { Clock } from '@buckthornslip/common';
import type { EventLogger } from '@buckthornslip/telemetry';

import { directoryTimes } from './directoryTimes';

/** Interval at which a relay decides its duty again, in milliseconds. */
const CHECK_MILLISECONDS = 500;

/** Shortest pause between two checks, in milliseconds. */
const MINIMUM_PAUSE_MILLISECONDS = 50;

/**
 * Shares of the time within which a policy must be in force. They leave time to open a connection to the store and to read it
 * if all relays have failed just before the policy was accepted.
 */
const CONTACT_INTERVAL_SHARE = 0.25;
const FIRST_RELAY_SHARE = 0.1;
const ALL_RELAYS_SHARE = 0.2;

/**
 * Time for which a node without relays follows the store at least, in milliseconds. Relays that answer now and then would
 * otherwise cause a new watch each time.
 */
const FOLLOWING_MILLISECONDS = 5_000;

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

/** Messages to the relays of this node's zone; each returns whether a relay has answered. */
export interface RelayContacts {
  readonly contactOne: () => Promise<boolean>;
  readonly contactAll: () => Promise<boolean>;
}

/** Dependencies of the decision. */
interface RelayDutyOptions {
  readonly clock: Clock;
  readonly logger: EventLogger;
  readonly isRelay: () => boolean;
  /** @returns Time since this node's policy was known to be the newest, in milliseconds. */
  readonly policyAgeMilliseconds: () => number;
  readonly relays: RelayContacts;
  /** Time within which a policy that the store has accepted must be in force, in milliseconds. */
  readonly applyMilliseconds: number;
  /** Whether the node follows the policy until it has decided. A node that restarts needs the policy at once. */
  readonly followsAtStart: boolean;
  readonly onFollowPolicy: (follows: boolean) => void;
}

/**
 * Creates the decision. A node does not decide right after its start, because it would take itself for a relay until it
 * has read the records of its zone.
 *
 * @param options - Clock, logger, the time limit, and functions that read the role, contact relays and apply the decision.
 * @returns The decision, not yet started.
 * @internal
 */
export function createRelayDuty(options: RelayDutyOptions): RelayDuty {
  const { applyMilliseconds, clock, followsAtStart, isRelay, logger, onFollowPolicy } = options;
  const { policyAgeMilliseconds, relays } = options;
  const contactInterval = applyMilliseconds * CONTACT_INTERVAL_SHARE;
  let lastContactMilliseconds = clock.monotonicMilliseconds();
  let followsUntilMilliseconds = -Infinity;
  let wasRelay = false;
  let follows = followsAtStart;
  let isClosed = false;

  const silenceMilliseconds = (): number => clock.monotonicMilliseconds() - lastContactMilliseconds;

  const isAnswered = (contact: Promise<boolean>, timeoutShare: number): Promise<boolean> =>
    Promise.race([contact, clock.sleep(applyMilliseconds * timeoutShare).then(() => false)]);

  /** @returns Whether a relay has sent a message lately or answers now. */
  const isRelayReachable = async (): Promise<boolean> =>
    silenceMilliseconds() < contactInterval ||
    (await isAnswered(relays.contactOne(), FIRST_RELAY_SHARE)) ||
    isAnswered(relays.contactAll(), ALL_RELAYS_SHARE);

  const decide = (isReachable: boolean, onRelay: () => void): void => {
    const relay = isRelay();
    const now = clock.monotonicMilliseconds();
    if (!relay && !isReachable) followsUntilMilliseconds = now + FOLLOWING_MILLISECONDS;
    const next = relay || now < followsUntilMilliseconds;
    if (relay && !wasRelay) onRelay();
    if (next !== follows) {
      const silence = Math.round(silenceMilliseconds());
      logger.log('policyDutyChanged', {
        follows: next,
        isRelay: relay,
        silenceMilliseconds: silence,
        policyAgeMilliseconds: Math.round(policyAgeMilliseconds()),
      });
      onFollowPolicy(next);
    }
    wasRelay = relay;
    follows = next;
  };

  const pauseMilliseconds = (): number =>
    isRelay()
      ? CHECK_MILLISECONDS
      : Math.max(MINIMUM_PAUSE_MILLISECONDS, contactInterval - silenceMilliseconds());

  const run = async (onRelay: () => void): Promise<void> => {
    await clock.sleep(directoryTimes.firstRoleDelay);
    while (!isClosed) {
      const isReachable = isRelay() || (await isRelayReachable());
      if (isClosed) return;
      decide(isReachable, onRelay);
      await clock.sleep(pauseMilliseconds());
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
