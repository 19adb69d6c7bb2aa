import t from 'tap';

import { createLoadGenerator } from '../caller/createLoadGenerator';
import { sendRequest } from '../http/sendRequest';
import { startTestCluster } from '../node/startTestCluster';
import { createStubUpstream } from './createStubUpstream';

void t.test('faults are set and counters are read over HTTP', async (test) => {
  const upstream = createStubUpstream({ service: 'statements', crash: () => undefined });
  await upstream.start();
  test.teardown(upstream.crash);
  const address = upstream.address();
  const setFaults = (faults: object) =>
    sendRequest({
      address,
      method: 'POST',
      path: '/faults',
      body: Buffer.from(JSON.stringify(faults)),
    });
  test.equal((await setFaults({ shedShare: 2 })).status, 400, 'an invalid value is rejected');
  test.equal((await setFaults({ shedShare: 1, health: 'failing' })).status, 200);
  const shed = await sendRequest({ address, method: 'GET', path: '/statements' });
  test.equal(shed.status, 503);
  test.equal(shed.headers['buckthornslip-outcome'], 'not-run');
  test.equal((await sendRequest({ address, method: 'GET', path: '/health' })).status, 503);
  await setFaults({ shedShare: 0 });
  const headers = { 'x-marker': 'm1' };
  await sendRequest({ address, method: 'GET', path: '/statements', headers });
  const counters = await sendRequest({ address, method: 'GET', path: '/counters' });
  test.match(JSON.parse(counters.body.toString()), { started: 1, shed: 1, runs: { m1: 1 } });
});

void t.test('a stopped upstream finishes its calls in progress', async (test) => {
  const cluster = await startTestCluster({ upstreams: [{ latencyMilliseconds: 300 }] });
  test.teardown(cluster.close);
  const address = cluster.nodes[0]?.callerAddress() ?? '';
  const headers = { authorization: `Bearer ${cluster.key}` };
  const call = sendRequest({ address, method: 'GET', path: '/statements', headers });
  await new Promise((resolve) => {
    setTimeout(resolve, 50);
  });
  await cluster.upstreams[0]?.stop();
  test.equal((await call).status, 200);
  const refused = await sendRequest({ address, method: 'GET', path: '/statements', headers });
  test.equal(refused.headers['buckthornslip-outcome'], 'not-run');
});

void t.test('the load generator counts statuses, reasons and damaged bodies', async (test) => {
  const cluster = await startTestCluster({ upstreams: [{}] });
  test.teardown(cluster.close);
  const address = cluster.nodes[0]?.callerAddress() ?? '';
  const base = { address, count: 20, ratePerSecond: 500 };
  const good = { ...base, key: cluster.key, path: '/statements?bytes=70000' };
  const whole = await createLoadGenerator(good).run();
  test.match(whole, { byStatus: { 200: 20 }, damaged: 0 });
  test.ok(whole.latencyMilliseconds.p99 >= whole.latencyMilliseconds.p50);
  const refused = await createLoadGenerator({ ...base, path: '/statements' }).run();
  test.match(refused, { byStatus: { 401: 20 }, byReason: { 'key-missing': 20 } });
  cluster.upstreams[0]?.setFaults({ truncate: true });
  test.match(await createLoadGenerator(good).run(), { byStatus: { error: 20 } });
});
