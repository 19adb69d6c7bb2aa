import type {
  Clock,
  HostId,
  Incarnation,
  RandomSource,
  RegionId,
  ServiceId,
  ZoneId,
} from '@buckthornslip/common';
import { createSeededRandom } from '@buckthornslip/common';
import { createSilentLogger } from '@buckthornslip/telemetry';

import type { MemoryContactStore } from '../contacts/createMemoryContactStore';
import { createMemoryContactStore } from '../contacts/createMemoryContactStore';
import { createMembership } from '../node/createMembership';
import type { MembershipNode } from '../node/MembershipNode';
import type { MembershipOptions } from '../node/MembershipOptions';
import { createMemoryNetwork } from './createMemoryNetwork';
import type { MemoryNetwork } from './MemoryNetwork';

/** Delay of each message, in milliseconds; typical of two nodes in one region. */
const DELAY_MILLISECONDS = 1;

/**
 * Nodes on one in-memory network, for tests and benchmarks.
 *
 * @public
 */
export interface MemoryFleet {
  readonly network: MemoryNetwork;
  readonly store: MemoryContactStore;
  /** Starts a node and replaces an earlier one of the same host. It announces a service if one is given. */
  readonly start: (
    host: string,
    zone: string,
    service?: string,
    options?: Partial<MembershipOptions>,
  ) => MembershipNode;
  /** Stops a node without notifying the others. */
  readonly crash: (host: string) => void;
  readonly node: (host: string) => MembershipNode;
}

/**
 * Creates a fleet without nodes. The region of a zone is the part of its name before the first "-", and the
 * control address of a node is its host.
 *
 * @param clock - Source of time.
 * @param seed - Seed of all random choices.
 * @returns The fleet.
 * @public
 */
export function createMemoryFleet(clock: Clock, seed: number): MemoryFleet {
  const random: RandomSource = createSeededRandom(seed);
  const network = createMemoryNetwork({
    clock,
    random,
    delayMilliseconds: () => DELAY_MILLISECONDS,
  });
  const store = createMemoryContactStore(clock);
  const nodes = new Map<string, MembershipNode>();

  const crash = (host: string): void => {
    network.detach(host);
    nodes.get(host)?.close();
    nodes.delete(host);
  };

  return {
    network,
    store,
    crash,
    node: (host) => nodes.get(host)!,
    start: (host, zone, service, options) => {
      crash(host);
      const node = createMembership({
        identity: {
          host: host as HostId,
          incarnation: clock.wallMilliseconds() as Incarnation,
        },
        region: zone.split('-')[0] as RegionId,
        zone: zone as ZoneId,
        peerAddress: `${host}:peer`,
        controlAddress: host,
        seeds: [],
        peers: network.peersOf(host),
        store,
        clock,
        random: createSeededRandom(random.nextInteger(2 ** 31)),
        logger: createSilentLogger(),
        ...options,
      });
      nodes.set(host, node);
      network.attach(host, node.handler);
      node.start();
      if (service) {
        node.announce({
          service: service as ServiceId,
          address: `${host}:upstream`,
          slots: 10,
          connections: 100,
          state: 'ready',
          coldStartMilliseconds: 0,
        });
      }
      return node;
    },
  };
}
