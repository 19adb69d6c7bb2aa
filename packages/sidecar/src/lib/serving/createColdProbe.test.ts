import type { IncomingMessage, ServerResponse } from 'node:http';
import { createServer } from 'node:http';
import type { AddressInfo } from 'node:net';

import { createAdmissionController } from '@buckthornslip/admission';
import type { ServiceId, UpstreamId } from '@buckthornslip/common';
import { createFakeClock, createSystemClock } from '@buckthornslip/common';
import { createSilentLogger } from '@buckthornslip/telemetry';
import t from 'tap';

import { createConnectionPools } from '../http/createConnectionPools';
import { createColdLimit } from './createColdLimit';
import { createColdProbe } from './createColdProbe';
import { requestHealth } from './requestHealth';
import type { UpstreamInstance } from './UpstreamInstance';

const INTERVAL_MILLISECONDS = 1_500;

const instance: UpstreamInstance = {
  id: 'i-1' as UpstreamId,
  startedMilliseconds: 0,
  sequence: 1,
  service: 'a' as ServiceId,
  address: '127.0.0.1:1',
  slots: 2,
  state: 'ready',
  coldStartMilliseconds: 0,
};

function createFixture(healthPath: string | undefined = '/health') {
  const clock = createFakeClock();
  const admission = createAdmissionController({ clock, adaptsToLatency: false });
  admission.setCapacity({ ...instance, state: 'ready', queueTargetMilliseconds: 400 });
  const logger = createSilentLogger();
  const limit = createColdLimit({
    clock,
    logger,
    announcementMilliseconds: INTERVAL_MILLISECONDS,
    setRateLimit: (perSecond) => admission.setRateLimit(perSecond, 'cold'),
    countLimit: () => undefined,
  });
  limit.configure({
    id: instance.service,
    connections: 1,
    slowStartMilliseconds: 8_000,
    warmUpPerSecond: 20,
    healthPath,
  });
  let stated: number | undefined = 0;
  let probes = 0;
  const probe = createColdProbe({
    clock,
    logger,
    admission,
    upstream: { current: () => ({ instance, state: 'ready' }) },
    limit,
    request: async () => {
      probes += 1;
      await clock.sleep(6);
      return stated;
    },
  });
  probe.start();
  return {
    admission,
    clock,
    limit,
    probe,
    probes: () => probes,
    state: (milliseconds: number | undefined) => {
      stated = milliseconds;
    },
  };
}

// Guards against probes that are paid for although the announcements tell enough, and against probes of other deployments.
void t.test('the upstream is asked only if its announcements are late', async (test) => {
  const { clock, limit, probe, probes, state } = createFixture();
  await clock.advance(5_000);
  test.equal(probes(), 0, 'before the first announcement');
  for (const sequence of [1, 2, 3, 4]) {
    limit.announce({ ...instance, sequence });
    await clock.advance(INTERVAL_MILLISECONDS);
  }
  test.equal(probes(), 0);
  state(3_000);
  await clock.advance(1_100);
  test.equal(probes(), 1);
  test.ok(limit.leftMilliseconds() > 2_400, 'a sudden cold state is noticed');
  probe.close();
  await clock.advance(10_000);
  test.equal(probes(), 1);

  const others = createFixture('');
  others.limit.configure(undefined);
  others.limit.announce(instance);
  await others.clock.advance(10_000);
  test.equal(others.probes(), 0);
});

// Guards against an upstream that is limited for the whole slow start after an evacuation, although it says that it is warm, and
// against an earlier announcement that overrides what it says.
void t.test('a health response ends the limit after an evacuation', async (test) => {
  const { admission, clock, limit, probes, state } = createFixture();
  limit.announce(instance);
  limit.startAfterEvacuation();
  limit.recordHealth(instance, 0, clock.monotonicMilliseconds() - 1);
  test.equal(limit.leftMilliseconds(), 8_000, 'a response to an earlier request has no effect');
  state(undefined);
  await clock.advance(510);
  test.equal(probes(), 1);
  test.equal(limit.leftMilliseconds(), 7_490, 'a response without the time has no effect');
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
  const { admission, clock, limit, probes } = createFixture();
  limit.announce(instance);
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
