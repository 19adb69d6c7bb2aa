import type { Refusal, Suspect } from '@buckthornslip/calls';
import { createSuspectTable, refuse } from '@buckthornslip/calls';
import type { Clock, RandomSource } from '@buckthornslip/common';
import type { EventLogger } from '@buckthornslip/telemetry';

import type { CallAttempt } from './CallAttempt';
import { createUnansweredCalls } from './createUnansweredCalls';
import { fingerprintOf } from './fingerprintOf';
import type { UpstreamInstance } from './UpstreamInstance';
import type { UpstreamStart } from './UpstreamStart';

/** Another node of the service, which is told of suspects. */
export interface SuspectPeer {
  readonly share: (suspects: readonly Suspect[]) => void;
}

/** Dependencies of the suspects of one node. */
interface SuspectsOptions {
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly logger: EventLogger;
  /** @returns Whether the upstream at an address refuses connections, so that its process has ended. */
  readonly refusesConnections: (address: string) => Promise<boolean>;
  /** Called when the upstream's process has ended while calls were running. */
  readonly onCrash: (start: UpstreamStart) => void;
  /** @returns Whether this node is the one of the allowed regions that may try a request again once it is no longer refused. */
  readonly isTrialNode: (fingerprint: string, call: CallAttempt) => boolean;
  /** @returns The other nodes of the service. */
  readonly peers: () => readonly SuspectPeer[];
}

/** How a call at the upstream ended. */
export type CallEnding =
  /** With a complete response of the upstream to this call, which clears it of suspicion. */
  | 'answered'
  /** With another response of the upstream, which does not show whether it can run the call. */
  | 'rejected'
  /** Without having been received by the upstream. */
  | 'unsent'
  /** With the end of its connection before a complete response. */
  | 'lost'
  /** With its deadline or its caller's departure, or with bytes that are no response to it. */
  | 'abandoned';

/** A call at the upstream. */
export interface SuspectableCall {
  readonly end: (ending: CallEnding) => void;
}

/** How it was noticed that the upstream's process has ended. */
export type EndEvidence =
  'connection-refused' | 'successor-announced' | 'wrong-instance' | 'started-after-lost-calls';

/**
 * Calls that were running when upstreams of the service crashed, and may have caused it.
 *
 * @internal
 */
export interface Suspects {
  /** @returns A refusal if the call has been running in too many crashes. */
  readonly check: (call: CallAttempt) => Refusal | undefined;
  /** Records a call that is sent to the upstream. */
  readonly begin: (call: CallAttempt, upstream: UpstreamInstance) => SuspectableCall;
  /** Records that a start of the upstream has ended without notice. The calls that it has not answered become suspects. */
  readonly recordEnd: (start: UpstreamStart, evidence: EndEvidence) => void;
  /** Records that a start of the upstream has ended as planned. */
  readonly recordDeparture: (start: UpstreamStart) => void;
  /** Records calls that were lost with the predecessor of a start of the upstream, while this node was not running either. */
  readonly recordLost: (fingerprints: readonly string[], start: UpstreamStart) => void;
  /** Adds suspects that another node of the service reports. */
  readonly merge: (suspects: readonly Suspect[]) => void;
  readonly close: () => void;
}

/** Crashes from which a request is refused. */
const CRASHES_TO_REFUSE = 3;

/** Crashes from which a request is not sent to another upstream again. */
const CRASHES_TO_DENY_RETRIES = 2;

/**
 * Time between the two checks whether the upstream's process has ended, in milliseconds. A successor may be listening before the
 * second one, and the first one may find a connection that was reset before the process has closed its listener.
 */
const CONFIRMATION_DELAY_MILLISECONDS = 50;

/** Interval at which suspects are repeated to other nodes, which may have been restarted or cut off, in milliseconds. */
const REPETITION_MILLISECONDS = 1_000;

/** Nodes that are told at each repetition. */
const REPETITION_PEERS = 2;

/** Most suspects of a repetition, those with the most crashes first. */
const MAXIMUM_REPEATED_SUSPECTS = 64;

/** Most calls of one crash that become suspects. */
const MAXIMUM_CALLS_OF_CRASH = 256;

/** @returns The identifier of the crash of one start of an upstream. */
function crashIdOf({ id, startedMilliseconds }: UpstreamStart): string {
  return `${id}@${startedMilliseconds}`;
}

function byFailures(one: Suspect, other: Suspect): number {
  return other.failures - one.failures;
}

/**
 * Creates the suspects of one node. When the upstream's process ends, the calls that it had not answered become suspects, which
 * all nodes of the service are told. Fingerprints are computed for calls that fail, and for others only while
 * there are suspects.
 *
 * @param options - Dependencies.
 * @returns An empty set of suspects.
 * @internal
 */
export function createSuspects(options: SuspectsOptions): Suspects {
  const { clock, isTrialNode, logger, onCrash, peers, random, refusesConnections } = options;
  const shareWithAll = (suspects: readonly Suspect[]): void =>
    peers().forEach(({ share }) => share(suspects));
  const table = createSuspectTable(clock, shareWithAll, CRASHES_TO_REFUSE);
  const unanswered = createUnansweredCalls(clock);
  let isConfirming = false;
  let isClosed = false;
  let stopTimer: (() => void) | undefined;

  const repeat = (): void => {
    stopTimer = undefined;
    const suspects = [...table.list(1)].sort(byFailures).slice(0, MAXIMUM_REPEATED_SUSPECTS);
    const others = [...peers()];
    for (let told = 0; told < REPETITION_PEERS && others.length > 0; told += 1) {
      const [peer] = others.splice(random.nextInteger(others.length), 1);
      if (suspects.length > 0) peer?.share(suspects);
    }
    scheduleRepetition();
  };

  function scheduleRepetition(): void {
    if (isClosed || stopTimer || table.isEmpty()) return;
    stopTimer = clock.setTimer(REPETITION_MILLISECONDS, repeat);
  }

  const addSuspects = (fingerprints: readonly string[], crashId: string): void => {
    fingerprints.slice(0, MAXIMUM_CALLS_OF_CRASH).forEach(table.begin);
    table.upstreamFailed(crashId);
    scheduleRepetition();
  };

  const logCrash = (
    { id: upstream, startedMilliseconds }: UpstreamStart,
    evidence: EndEvidence,
    calls: Readonly<Record<string, unknown>>,
  ): void => logger.log('upstreamCrashed', { upstream, startedMilliseconds, evidence, ...calls });

  const recordEnd = (start: UpstreamStart, evidence: EndEvidence): void => {
    const calls = unanswered.take(start);
    if (calls.length === 0 || isClosed) return;
    const requestIds = calls.slice(0, 8).map(({ requestId }) => requestId);
    logCrash(start, evidence, { unanswered: calls.length, requestIds });
    const fingerprints = calls.map(({ fingerprint }) => fingerprint);
    addSuspects(fingerprints, crashIdOf(start));
    onCrash(start);
  };

  const confirmEnd = async (upstream: UpstreamInstance): Promise<void> => {
    let hasEnded = await refusesConnections(upstream.address);
    if (!hasEnded) {
      await clock.sleep(CONFIRMATION_DELAY_MILLISECONDS);
      hasEnded = await refusesConnections(upstream.address);
    }
    isConfirming = false;
    if (hasEnded) recordEnd(upstream, 'connection-refused');
  };

  const startConfirming = (upstream: UpstreamInstance): void => {
    if (isConfirming) return;
    isConfirming = true;
    const { address } = upstream;
    void confirmEnd(upstream).catch((error: unknown) => {
      isConfirming = false;
      logger.log('unexpectedError', { during: 'crash', address, error: String(error) });
    });
  };

  /** After its refusal, a request that has crashed upstreams is tried once, at one node, so that it crashes one at most. */
  const mayTry = (fingerprint: string, tried: CallAttempt): boolean =>
    table.classify(fingerprint) !== 'refused' &&
    isTrialNode(fingerprint, tried) &&
    !unanswered.isRunning((call) => fingerprintOf(call) === fingerprint);

  return {
    check: (call) => {
      if (table.isEmpty()) return undefined;
      const fingerprint = fingerprintOf(call);
      const crashes = table.failuresOf(fingerprint);
      const isDenied =
        (call.isRepeat && crashes >= CRASHES_TO_DENY_RETRIES) ||
        (crashes >= CRASHES_TO_REFUSE && !mayTry(fingerprint, call));
      if (!isDenied) return undefined;
      const { isRepeat, requestId } = call;
      logger.log('suspectRefused', { requestId, fingerprint, crashes, isRepeat });
      return refuse('suspected-crash');
    },
    begin: (call, upstream) => {
      const sent = unanswered.add(call, upstream);
      const handlers: Readonly<Record<CallEnding, () => void>> = {
        answered: () => {
          sent.recordResponse();
          if (!table.isEmpty()) table.end(fingerprintOf(call), true);
        },
        rejected: sent.recordResponse,
        unsent: sent.withdraw,
        lost: () => {
          sent.recordLoss();
          startConfirming(upstream);
        },
        abandoned: sent.recordAbandonment,
      };
      return { end: (ending) => handlers[ending]() };
    },
    recordEnd,
    recordDeparture: (start) => {
      unanswered.take(start);
    },
    recordLost: (fingerprints, start) => {
      logCrash(start, 'started-after-lost-calls', { unanswered: fingerprints.length });
      // The predecessor is unknown here, but each report of its end names the same successor.
      addSuspects(fingerprints, `before ${crashIdOf(start)}`);
    },
    merge: (suspects) => {
      table.merge(suspects);
      scheduleRepetition();
    },
    close: () => {
      isClosed = true;
      stopTimer?.();
    },
  };
}
