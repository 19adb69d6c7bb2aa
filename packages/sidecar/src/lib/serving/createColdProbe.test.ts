import type { IncomingMessage, ServerResponse } from 'node:http';
import { createServer } from 'node:http';
import type { AddressInfo } from 'node:net';

import { createSystemClock } from '@buckthornslip/common';
import t from 'tap';

import { createConnectionPools } from '../http/createConnectionPools';
import { createColdFixture } from '../testing/createColdFixture';
import { createColdProbe } from './createColdProbe';
import { requestHealth } from './requestHealth';

const INTERVAL_MILLISECONDS = 1_500;

function createFixture() {
  const fixture = createColdFixture();
  const { clock, instance } = fixture;
  let mayAsk = true;
  let stated: number | undefined = 0;
  let probes = 0;
  const probe = createColdProbe({
    ...fixture,
    mayAsk: () => mayAsk,
    upstream: { current: () => ({ instance, state: 'ready' }) },
    request: async () => {
      probes += 1;
      await clock.sleep(6);
      return stated;
    },
  });
  probe.start();
  return {
    ...fixture,
    probe,
    probes: () => probes,
    setMayAsk: (next: boolean) => {
      mayAsk = next;
    },
    state: (milliseconds: number | undefined) => {
      stated = milliseconds;
    },
  };
}

// Guards against probes that are paid for although the announcements tell enough, and against probes of other deployments.
void t.test('the upstream is asked only if its announcements are late', async (test) => {
  const { announce, clock, limit, probe, probes, setMayAsk, state } = createFixture();
  await clock.advance(5_000);
  test.equal(probes(), 0, 'before the first announcement');
  for (const sequence of [1, 2, 3, 4]) {
    announce(sequence, 0);
    await clock.advance(INTERVAL_MILLISECONDS);
  }
  test.equal(probes(), 0);
  state(3_000);
  setMayAsk(false);
  await clock.advance(1_100);
  test.equal(probes(), 0, 'a request to the upstream is forbidden');
  setMayAsk(true);
  await clock.advance(510);
  test.equal(probes(), 1);
  test.ok(limit.leftMilliseconds() > 2_400, 'a sudden cold state is noticed');
  probe.close();
  await clock.advance(10_000);
  test.equal(probes(), 1);

  const others = createFixture();
  others.limit.configure(undefined);
  others.announce(1, 0);
  await others.clock.advance(10_000);
  test.equal(others.probes(), 0);
});

// Guards against an upstream that is limited for the whole slow start after an evacuation, although it says that it is warm, and
// against an earlier announcement that overrides what it says.
void t.test('a health response ends the limit after an evacuation', async (test) => {
  const { admission, announce, clock, instance, limit, probes, state } = createFixture();
  announce(1, 0);
  limit.startAfterEvacuation();
  limit.recordHealth(instance, 0, clock.monotonicMilliseconds() - 1);
  test.equal(limit.leftMilliseconds(), 5_000, 'a response to an earlier request has no effect');
  state(undefined);
  await clock.advance(510);
  test.equal(probes(), 1);
  test.equal(limit.leftMilliseconds(), 4_490, 'a response without the time has no effect');
  state(0);
  await clock.advance(510);
  test.equal(limit.leftMilliseconds(), 0);
  test.equal(probes(), 2);
  test.equal(admission.load().running, 0);
  await clock.advance(300);
  test.equal(probes(), 2);
});

// Guards against a probe that exceeds the slots of the upstream.
void t.test('a probe waits for a slot', async (test) => {
  const { admission, announce, clock, instance, limit, probes } = createFixture();
  admission.setCapacity({ ...instance, slots: 2, queueTargetMilliseconds: 400 });
  announce(1, 0);
  const request = { account: undefined, priority: 'low', depth: 0, isolated: false } as const;
  const calls = [1, 2].map(() => admission.tryAdmit({ ...request, remainingMilliseconds: 9_000 }));
  limit.startAfterEvacuation();
  // It waits for 200 ms at most, and is repeated.
  await clock.advance(600);
  test.equal(probes(), 0);
  calls.forEach((call) => call?.ok && call.value.release('completed'));
  await clock.advance(50);
  test.equal(probes(), 1);
});

// Guards against the cold time of another upstream at the same address, and against a response that hangs.
void t.test('only the response of the upstream counts', async (test) => {
  let respond = (_request: IncomingMessage, response: ServerResponse): void => {
    response.writeHead(200, { id: 'i-1', cold: '700' }).end('ok');
  };
  const server = createServer((request, response) => respond(request, response));
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  const clock = createSystemClock();
  const { instance } = createColdFixture();
  const limits = { idleMilliseconds: 1_000, connectMilliseconds: 400, maximumConnections: 2 };
  const pools = createConnectionPools(clock, () => limits);
  test.teardown(() => {
    pools.close();
    server.close();
    server.closeAllConnections();
  });
  const address = `127.0.0.1:${(server.address() as AddressInfo).port}`;
  const ask = () =>
    requestHealth({
      clock,
      pool: pools.get(address),
      protocol: {
        readHealth: ({ id, cold }) => ({
          upstream: id as string,
          coldMilliseconds: cold === undefined ? undefined : Number(cold),
        }),
      },
      instance: { ...instance, address },
      path: '/health',
      maySend: () => true,
    });
  test.equal(await ask(), 700);
  respond = (_request, response) => response.writeHead(200, { id: 'i-2', cold: '700' }).end();
  test.equal(await ask(), undefined);
  respond = (_request, response) => response.writeHead(200, { id: 'i-1' }).end();
  test.equal(await ask(), undefined);
  respond = (request) => request.socket.destroy();
  test.equal(await ask(), undefined);
  respond = () => undefined;
  test.equal(await ask(), undefined);
});

// Guards against a health request that reaches the upstream of a zone whose evacuation is ordered while it waits for a connection.
void t.test(
  'a health request is withheld if the upstream may not be asked any more',
  async (test) => {
    let received = 0;
    const server = createServer((_request, response) => {
      received += 1;
      response.end();
    });
    await new Promise<void>((resolve) => {
      server.listen(0, '127.0.0.1', resolve);
    });
    const clock = createSystemClock();
    const { instance } = createColdFixture();
    const limits = { idleMilliseconds: 1_000, connectMilliseconds: 400, maximumConnections: 1 };
    const pools = createConnectionPools(clock, () => limits);
    test.teardown(() => {
      pools.close();
      server.close();
      server.closeAllConnections();
    });
    const address = `127.0.0.1:${(server.address() as AddressInfo).port}`;
    const stated = await requestHealth({
      clock,
      pool: pools.get(address),
      protocol: { readHealth: () => ({ upstream: instance.id, coldMilliseconds: 700 }) },
      instance: { ...instance, address },
      path: '/health',
      maySend: () => false,
    });
    test.equal(stated, undefined);
    test.equal(received, 0);
  },
);
