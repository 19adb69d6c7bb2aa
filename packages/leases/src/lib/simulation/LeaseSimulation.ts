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
 * Several lease managers on one fake clock, with injected faults.
 *
 * @internal
 */
export interface LeaseSimulation {
  readonly partition: PartitionId;
  readonly store: MemoryStore;

  /** Violations of the invariants found so far. */
  readonly violations: readonly string[];
  /** Epochs in which some node held the lease, in order. */
  readonly epochs: readonly number[];

  /** Starts a process on a host; a running process is replaced by the next incarnation. */
  readonly start: (host: number) => void;
  readonly crash: (host: number) => void;
  readonly node: (host: number) => SimulatedNode | undefined;

  /** @returns Index of the host that currently holds the lease. */
  readonly holder: () => number | undefined;

  /** Pauses a host's process while its next request is in flight. */
  readonly pauseAtNextRequest: (host: number, milliseconds: number) => void;

  /** Drops all store requests of a host and their responses, or stops dropping them. */
  readonly setCutOff: (host: number, isCutOff: boolean) => void;
  readonly setMessageLoss: (probability: number) => void;

  /** Removes a host from the eligible members, or adds it back. */
  readonly setSuspected: (host: number, isSuspected: boolean) => void;

  /** Advances the clock and checks the invariants every `stepMilliseconds`; returns the time without a holder. */
  readonly run: (milliseconds: number, stepMilliseconds?: number) => Promise<number>;
  readonly close: () => void;
}
