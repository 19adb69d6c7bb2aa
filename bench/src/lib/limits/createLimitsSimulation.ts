import { createFakeClock, createSeededRandom } from '@buckthornslip/common';
import type { AccountId, FakeClock, RandomSource, RegionId } from '@buckthornslip/common';
import type { AccountDefinition } from '@buckthornslip/config';
import { createAccountLimiter, createTokenServer, limitsPartition } from '@buckthornslip/limits';
import type { AccountGrouping, AccountLimiter, LimitPeers } from '@buckthornslip/limits';
import { createSilentLogger } from '@buckthornslip/telemetry';
import type { EventLogger } from '@buckthornslip/telemetry';

import { createLeaseModel } from './createLeaseModel';
import type { LeaseModel, LimitLeases } from './createLeaseModel';
import { createNetwork } from './createNetwork';
import type { Network } from './createNetwork';
import { createProcess } from './createProcess';
import type { SimulatedProcess } from './createProcess';
import { createSplitStoreModel } from './createSplitStoreModel';
import type { SplitStoreModel } from './createSplitStoreModel';
import type { Faults } from './Faults';

/** Simulated node: an entry node that is also the token server of the partitions whose lease it holds. */
export interface SimulatedNode {
  readonly process: SimulatedProcess;
  readonly limiter: AccountLimiter;
  readonly leases: LimitLeases;
  readonly peers: LimitPeers;
}

/** Simulation of nodes, leases, network and store on a fake clock. */
export interface LimitsSimulation {
  readonly clock: FakeClock;
  readonly random: RandomSource;
  readonly faults: Faults;
  readonly leases: LeaseModel;
  readonly network: Network;
  readonly store: SplitStoreModel;
  /** Nodes by slot. A restart replaces the node of a slot. */
  readonly nodes: SimulatedNode[];
  /** Crashes the node of a slot and starts a new one in the slot. */
  readonly restart: (slot: number) => void;
}

/** Options of a simulation. */
export interface LimitsSimulationOptions {
  readonly seed: number;
  readonly grouping: AccountGrouping;
  readonly accounts: ReadonlyMap<AccountId, AccountDefinition>;
  readonly regions: readonly RegionId[];
  readonly nodesPerRegion: number;
  readonly termMilliseconds: number;
  readonly waitMilliseconds?: number;
  readonly demandAverageMilliseconds?: number;
  readonly splitReadMilliseconds?: number;
  readonly logger?: EventLogger;
}

/** Creates a simulation without faults. */
export function createLimitsSimulation(options: LimitsSimulationOptions): LimitsSimulation {
  const { regions, grouping } = options;
  const clock = createFakeClock();
  const random = createSeededRandom(options.seed);
  const faults: Faults = { loss: 0, duplication: 0, delayMilliseconds: 0.5, storeFailures: 0 };
  // Skips partitions without accounts, which would only add timers.
  const groups = new Set([...options.accounts.keys()].map((id) => grouping.groupOf(id)));
  const partitions = regions.flatMap((region) =>
    [...groups].map((group) => limitsPartition(region, group)),
  );
  const leases = createLeaseModel(clock, random, partitions, options.termMilliseconds);
  const network = createNetwork(clock, random, faults);
  const store = createSplitStoreModel(clock, random, faults);
  const logger = options.logger ?? createSilentLogger();
  const accounts = (): ReadonlyMap<AccountId, AccountDefinition> => options.accounts;
  let started = 0;

  const startNode = (region: RegionId): SimulatedNode => {
    started += 1;
    const process = createProcess(clock, `node-${started}`, region);
    const shared = {
      ...options,
      clock: process.clock,
      random,
      region,
      leases: leases.managerOf(process),
      grouping,
      accounts,
      regions: () => regions,
      logger,
    };
    const tokenServer = createTokenServer({
      ...shared,
      store: store.storeOf(process),
    });
    network.attach(process, tokenServer);
    leases.join(process);
    const peers = network.peersOf(process);
    const limiter = createAccountLimiter({ ...shared, peers });
    return { process, limiter, leases: shared.leases, peers };
  };

  const nodes = regions.flatMap((region) =>
    Array.from({ length: options.nodesPerRegion }, () => startNode(region)),
  );

  return {
    clock,
    random,
    faults,
    leases,
    network,
    store,
    nodes,
    restart: (slot) => {
      const node = nodes[slot];
      if (!node) return;
      node.process.crash();
      nodes[slot] = startNode(node.process.region as RegionId);
    },
  };
}
