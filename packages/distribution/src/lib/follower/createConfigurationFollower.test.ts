import type { AccountId, HostId, RegionId, ZoneId } from '@buckthornslip/common';
import { createSystemClock } from '@buckthornslip/common';
import type { PeerContact } from '@buckthornslip/distribution';
import {
  createConfigurationFollower,
  createConfigurationServer,
  createGrpcConfigurationPeers,
  createPublisher,
} from '@buckthornslip/distribution';
import { createEventLogger } from '@buckthornslip/telemetry';
import {
  createPeerChannels,
  authenticateDefinition,
  ConfigurationService,
} from '@buckthornslip/wire';
import { Server, ServerCredentials } from '@grpc/grpc-js';
import t from 'tap';

import type { InjectedOutcome } from '../testing/createFakeStore';
import { createFakeStore } from '../testing/createFakeStore';
import { testManifest } from '../testing/testManifest';

const FLEET_SECRET = 'secret-of-the-test-fleet';
const clock = createSystemClock();

async function waitUntil(condition: () => boolean): Promise<number> {
  const startedAt = clock.monotonicMilliseconds();
  while (!condition()) {
    if (clock.monotonicMilliseconds() - startedAt > 10_000)
      throw new Error('the condition was not met within 10 s');
    await clock.sleep(5);
  }
  return Math.round(clock.monotonicMilliseconds() - startedAt);
}

/** A follower with a gRPC server on a free port of the loopback interface. */
async function startNode(options: {
  readonly index: number;
  readonly store: ReturnType<typeof createFakeStore>;
  readonly contacts: PeerContact[];
  readonly registered: string[];
  readonly isContact: boolean;
  readonly secret?: string;
}) {
  const secret = options.secret ?? FLEET_SECRET;
  const server = new Server();
  const port = await new Promise<number>((resolve, reject) => {
    server.bindAsync('127.0.0.1:0', ServerCredentials.createInsecure(), (error, bound) =>
      error === null ? resolve(bound) : reject(error),
    );
  });
  const controlAddress = `127.0.0.1:${port}`;
  const region = (options.index % 2 === 0 ? 'riga' : 'daugavpils') as RegionId;
  const zone = `${region}-a` as ZoneId;
  const host = `host-${options.index}` as HostId;
  if (options.isContact) options.contacts.push({ host, region, zone, controlAddress });
  else options.registered.push(controlAddress);
  const events: string[] = [];
  const channels = createPeerChannels(clock);
  const peers = createGrpcConfigurationPeers(secret, channels);
  const follower = createConfigurationFollower({
    host,
    region,
    zone,
    controlAddress,
    clock,
    logger: createEventLogger({ name: 'test', level: 'debug', write: (line) => events.push(line) }),
    store: options.store,
    peers,
    fleetSecret: secret,
    freshnessLimitMilliseconds: 800,
    isContact: () => options.isContact,
    contacts: () => options.contacts,
    registeredNodes: () => options.registered,
  });
  server.addService(
    authenticateDefinition(ConfigurationService, secret),
    createConfigurationServer(follower.handlers),
  );
  const stopping = new AbortController();
  const running = follower.run(stopping.signal);
  const stop = async (): Promise<void> => {
    stopping.abort();
    await running;
    channels.close();
    server.forceShutdown();
  };
  return { follower, events, peers, controlAddress, stop };
}

async function startFleet(
  test: { teardown: (stop: () => Promise<unknown>) => void },
  isStoreDown = { value: false },
) {
  const decide = (): InjectedOutcome => (isStoreDown.value ? 'lost' : 'works');
  const store = createFakeStore(decide);
  const shared = { store, contacts: [], registered: [] };
  const nodes = [
    await startNode({ ...shared, index: 0, isContact: true }),
    await startNode({ ...shared, index: 1, isContact: true }),
    await startNode({ ...shared, index: 2, isContact: false }),
  ] as const;
  test.teardown(() => Promise.all(nodes.map((node) => node.stop())));
  const publisher = createPublisher(store, { clock, fleetSecret: FLEET_SECRET });
  return { nodes, shared, publisher, store };
}

const haveInForce =
  (
    nodes: readonly { follower: { current: () => { revision: number } | undefined } }[],
    revision: number,
  ) =>
  () =>
    nodes.every(({ follower }) => follower.current()?.revision === revision);

void t.test('a withdrawal reaches contacts by watch and nodes by announcement', async (test) => {
  const { nodes, publisher } = await startFleet(test);
  await publisher.publishManifest(testManifest('1'));
  const { keyId } = await publisher.grantKey('jelgava' as AccountId);
  await waitUntil(haveInForce(nodes, 2));
  await publisher.withdrawKey(keyId);
  const milliseconds = await waitUntil(haveInForce(nodes, 3));
  test.comment(`in force on three nodes after ${milliseconds} ms`);
  test.ok(milliseconds < 3_000, 'within the target time for withdrawals');
  const keys = [...(nodes[2].follower.current()?.keys.values() ?? [])];
  test.match(keys, [{ id: keyId, state: 'withdrawn' }]);
  test.ok(nodes[2].follower.isFresh());
});

void t.test(
  'nodes stay fresh while no node reaches the store, but not if a region is cut off as well',
  async (test) => {
    const isStoreDown = { value: false };
    const { nodes, publisher } = await startFleet(test, isStoreDown);
    await publisher.publishManifest(testManifest('1'));
    await waitUntil(haveInForce(nodes, 1));
    isStoreDown.value = true;
    await clock.sleep(2_000);
    test.ok(nodes[2].follower.isFresh(), 'contacts of all regions answer');
    await nodes[1].stop();
    await waitUntil(() => !nodes[2].follower.isFresh());
    test.equal(nodes[2].follower.current()?.revision, 1, 'the revision in force is kept');
  },
);

void t.test(
  'a node started while the store is down applies no revision until the store confirms it',
  async (test) => {
    const isStoreDown = { value: false };
    const { nodes, shared, publisher } = await startFleet(test, isStoreDown);
    await publisher.publishManifest(testManifest('1'));
    await waitUntil(haveInForce(nodes, 1));
    isStoreDown.value = true;
    await clock.sleep(100);
    const lateNode = await startNode({ ...shared, index: 4, isContact: false });
    test.teardown(lateNode.stop);
    await waitUntil(() => lateNode.follower.provisional()?.revision === 1);
    test.equal(lateNode.follower.current(), undefined);
    test.notOk(lateNode.follower.isFresh());
    isStoreDown.value = false;
    await waitUntil(haveInForce([lateNode], 1));
  },
);

void t.test('forged, corrupt or incomplete revisions do not come into force', async (test) => {
  const { nodes, publisher } = await startFleet(test);
  await publisher.publishManifest(testManifest('1'));
  await waitUntil(haveInForce(nodes, 1));
  const [contact, , node] = nodes;
  await contact.stop();
  await nodes[1].stop();
  const result = await publisher.publishManifest(testManifest('2'));
  if (result.kind !== 'published' || result.install?.head === undefined) throw new Error('failed');
  const { head, parts } = result.install;
  const forged = { head: { ...head, signature: Buffer.alloc(32) }, parts };
  test.match(node.follower.handlers.installRevision(forged), { revision: 1 });
  const corrupt = parts.map((part) => ({ ...part, compressed: part.compressed.subarray(1) }));
  test.match(node.follower.handlers.installRevision({ head, parts: corrupt }), { revision: 1 });
  test.match(node.follower.handlers.installRevision({ head, parts: [] }), { revision: 1 });
  const text = node.events.join('\n');
  ['signature-invalid', 'part-corrupt', 'part-missing'].forEach((kind) => test.match(text, kind));
  const channels = createPeerChannels(createSystemClock());
  const unauthorizedPeers = createGrpcConfigurationPeers('another-secret-of-a-fleet', channels);
  test.teardown(channels.close);
  const refused = await unauthorizedPeers.installRevision(node.controlAddress, { head, parts });
  test.match(refused, { ok: false }, 'a request with another fleet secret is rejected');
  const installed = await node.peers.installRevision(node.controlAddress, { head, parts });
  test.match(installed, { ok: true, value: { revision: 2 } });
});
