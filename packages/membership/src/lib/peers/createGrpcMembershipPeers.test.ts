import type { HostId, Incarnation, RegionId, ServiceId, ZoneId } from '@buckthornslip/common';
import { createSeededRandom, createSystemClock } from '@buckthornslip/common';
import {
  createGrpcMembershipPeers,
  createMembership,
  createMembershipImplementation,
} from '@buckthornslip/membership';
import { createSilentLogger } from '@buckthornslip/telemetry';
import { createPeerChannels } from '@buckthornslip/wire';
import { Server, ServerCredentials } from '@grpc/grpc-js';
import type { Test } from 'tap';
import t from 'tap';

const SERVICE = 'draw' as ServiceId;
const SECRET = 'fleet secret of this test';

function bind(server: Server, address: string): Promise<number> {
  return new Promise((resolve, reject) => {
    server.bindAsync(address, ServerCredentials.createInsecure(), (error, port) => {
      if (error) reject(error);
      else resolve(port);
    });
  });
}

async function startNode(test: Test, name: string, seeds: readonly string[], secret = SECRET) {
  const clock = createSystemClock();
  const server = new Server();
  const port = await bind(server, '127.0.0.1:0');
  const channels = createPeerChannels(clock);
  const peers = createGrpcMembershipPeers(secret, channels);
  const controlAddress = `127.0.0.1:${port}`;
  const node = createMembership({
    identity: { host: name as HostId, incarnation: clock.wallMilliseconds() as Incarnation },
    region: 'riga' as RegionId,
    zone: 'riga-1' as ZoneId,
    peerAddress: `${name}:peer`,
    controlAddress,
    seeds,
    peers,
    clock,
    random: createSeededRandom(port),
    logger: createSilentLogger(),
  });
  const { definition, implementation } = createMembershipImplementation({
    fleetSecret: secret,
    handler: node.handler,
  });
  server.addService(definition, implementation);
  node.start();
  test.teardown(() => {
    node.close();
    channels.close();
    server.forceShutdown();
  });
  return { node, controlAddress, peers };
}

const readyAnnouncement = {
  service: SERVICE,
  address: '127.0.0.1:1',
  slots: 10,
  connections: 100,
  state: 'ready',
  coldStartMilliseconds: 0,
} as const;

void t.test('nodes find each other over gRPC and spread a state change', async (test) => {
  const seed = await startNode(test, 'seed', []);
  const [first, caller] = await Promise.all([
    startNode(test, 'first', [seed.controlAddress]),
    startNode(test, 'caller', [seed.controlAddress]),
  ]);
  first.node.announce(readyAnnouncement);
  const members = await caller.node.waitForMembers(SERVICE, 10_000);
  test.equal(members.length, 1);
  test.equal(members[0]?.host, 'first');
  const draining = new Promise((resolve) => {
    caller.node.changes(SERVICE).subscribe(([member]) => {
      if (member?.state === 'draining') resolve(undefined);
    });
  });
  first.node.announce({ ...readyAnnouncement, state: 'draining' });
  await draining;
});

void t.test('a peer with another fleet secret gets no answer', async (test) => {
  const node = await startNode(test, 'node', []);
  const unauthenticated = await startNode(test, 'unauthenticated', [], 'another secret');
  const request = { service: SERVICE, limit: 1 };
  const authenticated = await node.peers.call(node.controlAddress, 'findService', request, 2_000);
  test.ok(authenticated.ok);
  const foreign = await unauthenticated.peers.call(
    node.controlAddress,
    'findService',
    request,
    2_000,
  );
  test.notOk(foreign.ok);
});

void t.test('a call to a peer that does not listen fails without an exception', async (test) => {
  const { peers } = await startNode(test, 'node', []);
  const result = await peers.call('127.0.0.1:1', 'findService', { service: '', limit: 1 }, 1_000);
  test.notOk(result.ok);
});
