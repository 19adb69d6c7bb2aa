import { createServer } from 'node:http';
import type { AddressInfo } from 'node:net';
import { setTimeout as sleep } from 'node:timers/promises';

import { createAdmissionController } from '@buckthornslip/admission';
import { createCallScope, refuse } from '@buckthornslip/calls';
import type { ServiceId, UpstreamId } from '@buckthornslip/common';
import { createSystemClock } from '@buckthornslip/common';
import { createSilentLogger } from '@buckthornslip/telemetry';
import t from 'tap';

import type { ServingPermission } from '../evacuation/createServingGate';
import { createConnectionPool } from '../http/createConnectionPool';
import type { CallAttempt } from './CallAttempt';
import { createStopBound } from '../process/createStopBound';
import { createCallServer } from './createCallServer';
import { createNestedShares } from './createNestedShares';
import { createRunningCalls } from './createRunningCalls';
import type { UpstreamInstance } from './UpstreamInstance';
import type { UpstreamRegistry, UpstreamView } from './UpstreamRegistry';

const SERVICE = 'service' as ServiceId;
const WORK_MILLISECONDS = 300;

/** Longer than a call waits until the orders are known. */
const WAIT_MILLISECONDS = 500;

// Guards against queued calls that start after the order, calls that are interrupted by it, and calls that run before it is known.
void t.test('an evacuation refuses queued calls and completes running ones', async (test) => {
  const clock = createSystemClock();
  let received = 0;
  const server = createServer(({ headers }, response) => {
    received += 1;
    setTimeout(() => response.end(headers.id), WORK_MILLISECONDS);
  });
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  const address = `127.0.0.1:${(server.address() as AddressInfo).port}`;
  const pool = createConnectionPool({
    clock,
    address,
    maximumConnections: 2,
    idleMilliseconds: 1_000,
    connectMilliseconds: 300,
  });
  test.teardown(() => {
    pool.close();
    server.close();
  });
  const admission = createAdmissionController({ clock, adaptsToLatency: false });
  const capacity = { slots: 1, coldStartMilliseconds: 0, queueTargetMilliseconds: 2_000 };
  const instance: UpstreamInstance = {
    ...{ id: 'i' as UpstreamId, startedMilliseconds: 1, sequence: 1, service: SERVICE, address },
    ...{ slots: 1, state: 'ready', coldStartMilliseconds: 0 },
  };
  let permission: ServingPermission = 'unknown';
  const callServer = createCallServer({
    stopBound: createStopBound(clock),
    pacer: { waitIfLate: () => undefined },
    clock,
    admission,
    upstream: {
      current: (): UpstreamView => ({ instance, state: 'ready' }),
    } as unknown as UpstreamRegistry,
    gate: {
      permission: () => permission,
      refusal: () => (permission === 'allowed' ? undefined : refuse('zone-evacuated')),
      whenKnown: () => clock.sleep(WAIT_MILLISECONDS),
    },
    statedLimit: { record: () => undefined, startInstance: () => undefined },
    costs: undefined,
    recordSpeed: () => undefined,
    poolOf: () => pool,
    protocol: {
      readRequest: () => ({}) as never,
      readResponse: () => ({ requestId: 'call', isNotRun: false, isSigned: true }) as never,
      readHealth: () => ({}) as never,
      writeUpstreamHeaders: () => [],
      reservedNames: new Set(),
    },
    running: createRunningCalls(),
    nestedShares: createNestedShares(clock),
    repeats: { countFirstAttempt: () => undefined, tryRepeat: () => true },
    suspects: {
      check: () => undefined,
      begin: () => ({ end: () => undefined }),
      recordEnd: () => undefined,
    },
    logger: createSilentLogger(),
  });
  const serve = async (): Promise<string | number> => {
    const { answer } = await callServer.serve({
      ...{ requestId: 'call', route: 'r', service: SERVICE, rank: 0, method: 'GET', target: '/' },
      headers: ['Host', 'calls.example'],
      body: { kind: 'whole', bytes: Buffer.alloc(0) },
      scope: createCallScope(clock, 2_000),
    } as unknown as CallAttempt);
    return answer.kind === 'answer' ? answer.status : `${answer.reason} ${answer.outcome}`;
  };

  admission.setCapacity({ ...capacity, state: 'ready' });
  test.equal(await serve(), 'zone-evacuated not-run', 'orders are not known');
  permission = 'allowed';
  const running = serve();
  const queued = serve();
  await sleep(WORK_MILLISECONDS / 3);
  permission = 'evacuated';
  admission.setCapacity({ ...capacity, state: 'draining' });
  test.equal(await queued, 'zone-evacuated not-run');
  test.equal(await serve(), 'zone-evacuated not-run');
  test.equal(await running, 200);
  test.equal(received, 1);
});
