import { createStubUpstream, reservePorts } from '@buckthornslip/app-standins';
import type { Clock, HostId, RegionId, ZoneId } from '@buckthornslip/common';
import { createSeededRandom, createSystemClock } from '@buckthornslip/common';
import type { NodeSettings } from '@buckthornslip/config';
import { createPublisher, toConfigurationStore } from '@buckthornslip/distribution';
import type { AccountGrouping } from '@buckthornslip/limits';
import { createAccountGrouping } from '@buckthornslip/limits';
import { createStoreClient, createStoreServer } from '@buckthornslip/platform';
import { createMetrics, createSilentLogger } from '@buckthornslip/telemetry';

import { createNode } from '../process/createNode';

import type { FleetHost } from './FleetHost';
import type { HostPlacement } from './HostPlacement';
import type { NodeFleet } from './NodeFleet';

const FLEET_SECRET = 'fleet secret of tests only';
const PORTS_PER_HOST = 5;
const STOP_LIMIT_MILLISECONDS = 30_000;
const FRESHNESS_LIMIT_MILLISECONDS = 3_000;

function createSettings(
  placement: HostPlacement,
  index: number,
  ports: readonly number[],
  storeAddress: string,
): NodeSettings {
  const listener = (position: number) => ({
    address: '127.0.0.1',
    port: ports[index * PORTS_PER_HOST + position] ?? 0,
  });
  return {
    host: `${placement.zone}-${placement.service}-${index}` as HostId,
    region: placement.region as RegionId,
    zone: placement.zone as ZoneId,
    listeners: {
      callers: listener(0),
      outgoing: listener(1),
      peers: listener(2),
      control: listener(3),
      admin: listener(4),
    },
    storeEndpoints: [storeAddress],
    seeds: [],
    fleetSecret: FLEET_SECRET,
    stopLimitMilliseconds: STOP_LIMIT_MILLISECONDS,
    freshnessLimitMilliseconds: FRESHNESS_LIMIT_MILLISECONDS,
    logLevel: 'error',
  };
}

async function startHost(
  placement: HostPlacement,
  settings: NodeSettings,
  clock: Clock,
  grouping: AccountGrouping,
  seed: number,
): Promise<FleetHost> {
  const logger = createSilentLogger();
  const store = createStoreClient({ endpoints: settings.storeEndpoints, clock, logger });
  const node = createNode({
    settings,
    clock,
    random: createSeededRandom(seed),
    store,
    grouping,
    logger,
    metrics: createMetrics(),
  });
  await node.start();
  const { callers, outgoing } = settings.listeners;
  const upstream = createStubUpstream({
    service: placement.service,
    node: `${outgoing.address}:${outgoing.port}`,
  });
  await upstream.start();
  return { settings, node, store, upstream, callerAddress: `${callers.address}:${callers.port}` };
}

/**
 * Starts a fleet of nodes, stub upstreams and a store in this process.
 *
 * @param placements - Placement of each host.
 * @returns The running fleet, with no configuration published.
 * @public
 */
export async function startNodeFleet(placements: readonly HostPlacement[]): Promise<NodeFleet> {
  const clock = createSystemClock();
  const store = await createStoreServer({ clock, listen: '127.0.0.1:0' });
  const ports = await reservePorts(placements.length * PORTS_PER_HOST);
  const grouping = await createAccountGrouping();
  const hosts = await Promise.all(
    placements.map((placement, index) => {
      const settings = createSettings(placement, index, ports, store.address);
      return startHost(placement, settings, clock, grouping, index + 1);
    }),
  );
  const logger = createSilentLogger();
  const client = createStoreClient({ endpoints: [store.address], clock, logger });
  const publisher = createPublisher(toConfigurationStore(client), {
    clock,
    fleetSecret: FLEET_SECRET,
  });
  return {
    store,
    publisher,
    hosts,
    close: async () => {
      hosts.forEach(({ upstream }) => upstream.crash());
      await Promise.all(hosts.map(({ node }) => node.close()));
      client.close();
      store.close();
    },
  };
}
