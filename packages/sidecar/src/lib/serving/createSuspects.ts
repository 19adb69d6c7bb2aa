import { createHash } from 'node:crypto';

import type { Refusal, Suspect } from '@buckthornslip/calls';
import { createSuspectTable, refuse } from '@buckthornslip/calls';
import type { Clock, RandomSource } from '@buckthornslip/common';
import type { EventLogger } from '@buckthornslip/telemetry';

import type { CallAttempt } from './CallAttempt';

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
  readonly onCrash: () => void;
  /** @returns The other nodes of the service. */
  readonly peers: () => readonly SuspectPeer[];
}

/**
 * Calls that were running when upstreams of the service crashed, and may have caused it.
 *
 * @internal
 */
export interface Suspects {
  /** @returns A refusal if the call has been running in too many crashes. */
  readonly check: (call: CallAttempt) => Refusal | undefined;
  /** Records a call whose connection was reset before a response. */
  readonly recordReset: (call: CallAttempt, address: string) => void;
  /** Records a call that got a response, which clears it of suspicion. */
  readonly recordAnswer: (call: CallAttempt) => void;
  /** Adds suspects that another node of the service reports. */
  readonly merge: (suspects: readonly Suspect[]) => void;
  readonly close: () => void;
}

/** Crashes from which a request is refused. */
const CRASHES_TO_REFUSE = 3;

/** Crashes from which a request is not sent to another upstream again. */
const CRASHES_TO_DENY_RETRIES = 2;

/** Time between the first reset and the check whether the upstream's process has ended, in milliseconds. */
const CONFIRMATION_DELAY_MILLISECONDS = 50;

/** Interval at which suspects are repeated to other nodes, which may have been restarted or cut off, in milliseconds. */
const REPETITION_MILLISECONDS = 1_000;

/** Nodes that are told at each repetition. */
const REPETITION_PEERS = 2;

/** Most calls of one crash that become suspects. */
const MAXIMUM_CALLS_OF_CRASH = 256;

/** Characters of a digest in Base64 that identify a request. */
const FINGERPRINT_CHARACTERS = 22;

/** @returns What is equal for equal requests; undefined if the body is not in memory. */
function fingerprintOf({ account, body, method, route, target }: CallAttempt): string | undefined {
  if (body.kind !== 'whole') return undefined;
  return createHash('sha256')
    .update([route, method, target, account ?? ''].join('\n'))
    .update('\n')
    .update(body.bytes)
    .digest('base64')
    .slice(0, FINGERPRINT_CHARACTERS);
}

/**
 * Creates the suspects of one node. When the upstream's process ends, the calls that were running become suspects, which all
 * nodes of the service are told. Fingerprints are computed only while there are suspects.
 *
 * @param options - Dependencies.
 * @returns An empty set of suspects.
 * @internal
 */
export function createSuspects(options: SuspectsOptions): Suspects {
  const { clock, logger, onCrash, peers, random, refusesConnections } = options;
  const shareWithAll = (suspects: readonly Suspect[]): void =>
    peers().forEach(({ share }) => share(suspects));
  const table = createSuspectTable(clock, shareWithAll, CRASHES_TO_REFUSE);
  let resets: CallAttempt[] = [];
  let isConfirming = false;
  let isClosed = false;
  let stopTimer: (() => void) | undefined;

  const repeat = (): void => {
    stopTimer = undefined;
    const suspects = table.list(CRASHES_TO_DENY_RETRIES);
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

  const confirmCrash = async (address: string): Promise<void> => {
    await clock.sleep(CONFIRMATION_DELAY_MILLISECONDS);
    const hasEnded = await refusesConnections(address);
    const calls = resets;
    resets = [];
    isConfirming = false;
    if (!hasEnded || isClosed) return;
    logger.log('upstreamCrashed', {
      address,
      running: calls.length,
      requestIds: calls.slice(0, 8).map(({ requestId }) => requestId),
    });
    calls.forEach((call) => {
      const fingerprint = fingerprintOf(call);
      if (fingerprint !== undefined) table.begin(fingerprint);
    });
    table.upstreamFailed();
    scheduleRepetition();
    onCrash();
  };

  return {
    check: (call) => {
      if (table.isEmpty()) return undefined;
      const fingerprint = fingerprintOf(call);
      if (fingerprint === undefined) return undefined;
      const crashes = table.failuresOf(fingerprint);
      const isDenied = call.isRepeat && crashes >= CRASHES_TO_DENY_RETRIES;
      if (!isDenied && table.classify(fingerprint) !== 'refused') return undefined;
      const { isRepeat, requestId } = call;
      logger.log('suspectRefused', { requestId, fingerprint, crashes, isRepeat });
      return refuse('suspected-crash');
    },
    recordReset: (call, address) => {
      if (resets.length < MAXIMUM_CALLS_OF_CRASH) resets.push(call);
      if (isConfirming) return;
      isConfirming = true;
      void confirmCrash(address).catch((error: unknown) => {
        logger.log('unexpectedError', { during: 'crash', address, error: String(error) });
      });
    },
    recordAnswer: (call) => {
      if (table.isEmpty()) return;
      const fingerprint = fingerprintOf(call);
      if (fingerprint !== undefined) table.end(fingerprint, true);
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
