import type { Clock } from '@buckthornslip/common';
import type { EventLogger } from '@buckthornslip/telemetry';

import { RELAYS_PER_ZONE } from './createZoneRelays';
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
 * Share of the same time after which knowledge of the policy is too old for the first nodes after the relays. The relays poll
 * in turn, so the newest of their answers is usually not half as old.
 */
const KNOWLEDGE_SHARE = 0.7;

/** Factor by which knowledge may be older for each further group of nodes, so that a store that is down is not asked by all. */
const GROUP_FACTOR = 2;

/**
 * Time for which a node without relays follows the store at least, in milliseconds. Relays that answer now and then would
 * otherwise cause a new watch each time.
 */
const FOLLOWING_MILLISECONDS = 5_000;

/**
 * Decides whether this node follows the policy in the store: the relays of a zone do, and each node whose relays do not
 * answer, or do not know whether the policy is still the newest.
 *
 * @internal
 */
export interface RelayDuty {
  readonly recordRelayContact: () => void;
  /** @returns Whether this node follows the policy although it is no relay. */
  readonly isStandIn: () => boolean;
  /** @param onRelay - Called each time this node becomes a relay. */
  readonly start: (onRelay: () => void) => void;
  readonly close: () => void;
}

/** Messages to the relays of this node's zone; each returns whether a relay has answered. */
export interface RelayContacts {
  readonly contactOne: () => Promise<boolean>;
  /** @param isEnough - Called after each answer; the first answer after which it returns true ends the wait. */
  readonly contactAll: (isEnough: () => boolean) => Promise<boolean>;
}

/** Dependencies of the decision. */
interface RelayDutyOptions {
  readonly clock: Clock;
  readonly logger: EventLogger;
  /** @returns Rank of this node among all live nodes of its zone, of which the first are the relays. */
  readonly rank: () => number;
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
  const { applyMilliseconds, clock, followsAtStart, logger, onFollowPolicy } = options;
  const { policyAgeMilliseconds, rank, relays } = options;
  const contactInterval = applyMilliseconds * CONTACT_INTERVAL_SHARE;
  let startedMilliseconds = clock.monotonicMilliseconds();
  let lastContactMilliseconds = startedMilliseconds;
  let followsUntilMilliseconds = -Infinity;
  let wasRelay = false;
  let follows = followsAtStart;
  let isClosed = false;

  const isRelay = (): boolean => rank() < RELAYS_PER_ZONE;
  const silenceMilliseconds = (): number => clock.monotonicMilliseconds() - lastContactMilliseconds;

  /** @returns Time until this node's knowledge is too old; negative if it is. */
  const knowledgeMilliseconds = (): number => {
    const group = Math.max(1, Math.floor(rank() / RELAYS_PER_ZONE));
    const allowed = applyMilliseconds * KNOWLEDGE_SHARE * GROUP_FACTOR ** (group - 1);
    const sinceStart = clock.monotonicMilliseconds() - startedMilliseconds;
    return allowed - Math.min(policyAgeMilliseconds(), sinceStart);
  };
  const hasKnowledge = (): boolean => knowledgeMilliseconds() > 0;

  const isAnswered = (contact: Promise<boolean>, timeoutShare: number): Promise<boolean> =>
    Promise.race([contact, clock.sleep(applyMilliseconds * timeoutShare).then(() => false)]);

  /** @returns Whether a relay has sent a message lately or answers now, and the policy was the newest not long ago. */
  const isInformed = async (): Promise<boolean> => {
    if (silenceMilliseconds() < contactInterval && hasKnowledge()) return true;
    if ((await isAnswered(relays.contactOne(), FIRST_RELAY_SHARE)) && hasKnowledge()) return true;
    return isAnswered(relays.contactAll(hasKnowledge), ALL_RELAYS_SHARE);
  };

  const decide = (isCurrent: boolean, onRelay: () => void): void => {
    const relay = isRelay();
    const now = clock.monotonicMilliseconds();
    if (!relay && !isCurrent) followsUntilMilliseconds = now + FOLLOWING_MILLISECONDS;
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

  const pauseMilliseconds = (): number => {
    if (isRelay()) return CHECK_MILLISECONDS;
    const untilContact = contactInterval - silenceMilliseconds();
    // A node that follows the store can do no more.
    const pause = follows ? contactInterval : Math.min(untilContact, knowledgeMilliseconds());
    return Math.max(MINIMUM_PAUSE_MILLISECONDS, pause);
  };

  const run = async (onRelay: () => void): Promise<void> => {
    await clock.sleep(directoryTimes.firstRoleDelay);
    startedMilliseconds = clock.monotonicMilliseconds();
    while (!isClosed) {
      const isCurrent = isRelay() || (await isInformed());
      if (isClosed) return;
      decide(isCurrent, onRelay);
      await clock.sleep(pauseMilliseconds());
    }
  };

  return {
    recordRelayContact: () => {
      lastContactMilliseconds = clock.monotonicMilliseconds();
    },
    isStandIn: () => follows && clock.monotonicMilliseconds() < followsUntilMilliseconds,
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
