import {
  createSystemClock,
  type HostId,
  type Incarnation,
  type PartitionId,
  type ZoneId,
} from '@buckthornslip/common';
import {
  createLeaseManager,
  createLeasePeersClient,
  createLeaseService,
  type LeaseMember,
  type LeaseResponder,
  type RunningLeaseManager,
} from '@buckthornslip/leases';
import { createStoreClient, createStoreServer } from '@buckthornslip/platform';
import { createSilentLogger } from '@buckthornslip/telemetry';
import { createPeerChannels } from '@buckthornslip/wire';
import { Server, ServerCredentials } from '@grpc/grpc-js';
import { filter, firstValueFrom } from 'rxjs';
import t from 'tap';

const SECRET = 'a secret of the fleet';
const PARTITION = 'limits/riga/0' as PartitionId;
const clock = createSystemClock();
const logger = createSilentLogger();

// The timers of the system clock don't keep the process alive.
const keepAlive = setInterval(() => undefined, 1_000);
t.teardown(() => clearInterval(keepAlive));

const listen = (server: Server): Promise<string> =>
  new Promise((resolve, reject) => {
    server.bindAsync('127.0.0.1:0', ServerCredentials.createInsecure(), (error, port) => {
      if (error) reject(error);
      else resolve(`127.0.0.1:${port}`);
    });
  });

const createMember = (host: string, controlAddress: string): LeaseMember => ({
  host: host as HostId,
  incarnation: 1_767_225_600_000 as Incarnation,
  zone: host as ZoneId,
  controlAddress,
});

void t.test('requests arrive unchanged, and only with the fleet secret', async (test) => {
  const responder: LeaseResponder = {
    answerExtension: ({ epoch, candidate }) => ({ promised: epoch === 7, responder: candidate }),
    answerLocate: () => undefined,
    refresh: () => undefined,
  };
  const server = new Server();
  const service = createLeaseService(responder, SECRET);
  server.addService(service.definition, service.handlers);
  const to = createMember('a', await listen(server));
  const { host, incarnation } = to;
  const candidate = { host, incarnation };
  const request = {
    partition: PARTITION,
    epoch: 7,
    holder: candidate,
    candidate,
    termMilliseconds: 9_000,
  };
  const channels = createPeerChannels(clock);
  const timeoutMilliseconds = 500;
  const peers = createLeasePeersClient({ fleetSecret: SECRET, channels, timeoutMilliseconds });
  const unauthenticated = createLeasePeersClient({
    fleetSecret: 'other',
    channels,
    timeoutMilliseconds,
  });
  test.teardown(() => {
    channels.close();
    server.forceShutdown();
  });
  test.same(await peers.requestExtension(to, request), { promised: true, responder: candidate });
  test.equal(await peers.locate(to, PARTITION), undefined);
  test.equal(await unauthenticated.requestExtension(to, request), undefined);
  server.forceShutdown();
  test.equal(await peers.requestExtension(to, request), undefined, 'no answer from a dead peer');
});

void t.test('three nodes keep a lease over gRPC during a store outage', async (test) => {
  const storeServer = await createStoreServer({ clock, listen: '127.0.0.1:0' });
  const timing = {
    termMilliseconds: 2_700,
    marginFraction: 0.1,
    maximumOutageMilliseconds: 60_000,
  };
  const members: LeaseMember[] = [];
  const managers: RunningLeaseManager[] = [];
  for (const host of ['a', 'b', 'c']) {
    const server = new Server();
    const store = createStoreClient({ endpoints: [storeServer.address], clock, logger });
    const channels = createPeerChannels(clock);
    const timeoutMilliseconds = 100;
    const peers = createLeasePeersClient({ fleetSecret: SECRET, channels, timeoutMilliseconds });
    const index = managers.length;
    const responder: LeaseResponder = {
      answerExtension: (request) =>
        managers[index]?.answerExtension(request) ?? {
          promised: false,
          responder: request.candidate,
        },
      answerLocate: (partition) => managers[index]?.answerLocate(partition),
      refresh: (partition) => managers[index]?.refresh(partition),
    };
    const service = createLeaseService(responder, SECRET);
    server.addService(service.definition, service.handlers);
    const member = createMember(host, await listen(server));
    members.push(member);
    managers.push(
      createLeaseManager({
        self: member,
        store,
        clock,
        logger,
        peers,
        timing,
        eligibleMembers: () => members,
      }),
    );
    test.teardown(() => {
      managers[index]?.close();
      channels.close();
      store.close();
      server.forceShutdown();
    });
  }
  test.teardown(storeServer.close);
  managers.forEach((manager) => manager.participate(PARTITION));
  const heldLeases = managers.map((manager) =>
    firstValueFrom(
      manager.heldLeaseChanges(PARTITION).pipe(filter((lease) => lease?.candidates.length === 2)),
    ),
  );
  const heldLease = await Promise.race(heldLeases);
  storeServer.faults.setDown(true);
  await clock.sleep(3 * timing.termMilliseconds);
  test.ok((heldLease?.remainingMilliseconds() ?? 0) > 0, 'extensions keep the lease valid');
  test.equal(managers.filter((manager) => manager.heldLease(PARTITION)).length, 1);
  storeServer.faults.setDown(false);
  const follower = managers.find((manager) => !manager.heldLease(PARTITION));
  const location = await follower?.locate(PARTITION);
  test.match(location, { ok: true, value: { epoch: 1 } });
  const holder = managers.find((manager) => manager.heldLease(PARTITION));
  await holder?.handOverAll();
  await clock.sleep(timing.termMilliseconds / 3);
  const successor = managers.find((manager) => manager.heldLease(PARTITION));
  test.equal(successor?.heldLease(PARTITION)?.epoch, 2);
});
