import type { PartitionId } from '@buckthornslip/common';
import type { MemoryStore } from '@buckthornslip/platform';

import type { RunningLeaseManager } from '../manager/RunningLeaseManager';
import type { LeaseMember } from '../node/LeaseMember';
import type { PauseControl } from './createPauseControl';

/**
 * One process in a simulation of leases.
 *
 * @internal
 */
export interface SimulatedNode {
  readonly member: LeaseMember;
  readonly pauseControl: PauseControl;
  readonly manager: RunningLeaseManager;
}

/**
 * Several lease managers on one fake clock, with faults.
 *
 * @internal
 */
export interface LeaseSimulation {
  readonly partition: PartitionId;
  readonly store: MemoryStore;

  /** Breaches of the rules seen so far. */
  readonly violations: readonly string[];
  /** Epochs under which some node held the partition, in order. */
  readonly epochs: readonly number[];

  /** Starts a process, or the next incarnation, in a host's slot. */
  readonly start: (host: number) => void;
  readonly crash: (host: number) => void;
  readonly node: (host: number) => SimulatedNode | undefined;

  /** @returns Index of the host that holds the partition now. */
  readonly holder: () => number | undefined;

  /** Pauses a host's process while its next request or message is on its way. */
  readonly pauseAtNextRequest: (host: number, milliseconds: number) => void;

  /** Loses all store requests of a host and their responses, or stops losing them. */
  readonly setCutOff: (host: number, isCutOff: boolean) => void;
  readonly setMessageLoss: (probability: number) => void;

  /** Leaves a host out of the list of eligible members, or puts it back. */
  readonly setSuspected: (host: number, isSuspected: boolean) => void;

  /** Moves time on, checking the rules every `stepMilliseconds`; returns the time without a holder. */
  readonly run: (milliseconds: number, stepMilliseconds?: number) => Promise<number>;
  readonly close: () => void;
}
