import { request as httpRequest } from 'node:http';
import { setTimeout as sleep } from 'node:timers/promises';

import t from 'tap';

import { sendRequest } from '../http/sendRequest';
import { createTestManifest } from '../node/createTestManifest';
import { startTestCluster } from '../node/startTestCluster';

async function until(condition: () => boolean, limitMilliseconds = 2_000): Promise<boolean> {
  for (let waited = 0; waited < limitMilliseconds; waited += 10) {
    if (condition()) return true;
    await sleep(10);
  }
  return condition();
}

for (const nodes of [1, 2]) {
  const upstream = { latencyMilliseconds: 5_000, slots: 1 };
  const upstreams = nodes === 1 ? [upstream] : [undefined, upstream];

  void t.test(`a call is cancelled when its caller disconnects, ${nodes} node(s)`, async (test) => {
    const cluster = await startTestCluster({ upstreams });
    test.teardown(cluster.close);
    const address = cluster.nodes[0]?.callerAddress() ?? '';
    const counters = () => cluster.upstreams.at(-1)?.counters();
    const headers = { authorization: `Bearer ${cluster.key}` };
    const leave = new AbortController();
    const { signal } = leave;
    const sent = {
      address,
      method: 'GET',
      path: '/statements',
      headers,
      signal,
      agent: false,
    } as const;
    const call = sendRequest(sent).catch(() => 'left');
    test.ok(await until(() => counters()?.running === 1), 'the call runs');
    const queued = sendRequest(sent).catch(() => 'left');
    await sleep(50);
    leave.abort();
    test.same(await Promise.all([call, queued]), ['left', 'left']);
    test.ok(await until(() => counters()?.running === 0), 'the call ends at the upstream');
    test.match(counters(), { started: 1, cancelled: 1 }, 'the queued call never started');
  });

  void t.test(
    `the deadline ends a call for the caller and at the upstream, ${nodes} node(s)`,
    async (test) => {
      const cluster = await startTestCluster({ upstreams });
      test.teardown(cluster.close);
      const address = cluster.nodes[0]?.callerAddress() ?? '';
      const authorization = `Bearer ${cluster.key}`;
      const headers = { authorization, 'buckthornslip-timeout': '200' };
      const startedAt = performance.now();
      const response = await sendRequest({ address, method: 'GET', path: '/statements', headers });
      test.equal(response.status, 504);
      test.ok(performance.now() - startedAt < 400, 'the caller gets the response in time');
      const ended = await until(() => cluster.upstreams.at(-1)?.counters().running === 0);
      test.ok(ended, 'the upstream stops');
    },
  );
}

void t.test('withdrawing a key while the request body arrives ends the request', async (test) => {
  const cluster = await startTestCluster({ upstreams: [{}] });
  test.teardown(cluster.close);
  const address = cluster.nodes[0]?.callerAddress() ?? '';
  const [host, port] = address.split(':');
  const authorization = `Bearer ${cluster.key}`;
  const headers = { authorization, 'content-length': 1_000 };
  const request = httpRequest({ host, port, method: 'POST', path: '/statements', headers });
  request.write('a');
  await sleep(100);
  cluster.fleet.withdraw(cluster.key);
  const [status, reason] = await new Promise<unknown[]>((resolve) => {
    request.once('response', (response) => {
      resolve([response.statusCode, response.headers['buckthornslip-reason']]);
    });
    request.on('error', () => undefined);
  });
  request.destroy();
  test.same([status, reason], [401, 'key-withdrawn']);
  test.equal(cluster.upstreams[0]?.counters().started, 0);
});

for (const repeatable of [true, false]) {
  for (const upstreams of [[{}], [undefined, {}]]) {
    const name = `${repeatable ? 'repeatable' : 'non-repeatable'}, ${upstreams.length} node(s)`;
    void t.test(
      `withdrawing a key while the body is streamed to the upstream ends the call, ${name}`,
      async (test) => {
        const manifest = createTestManifest([{ repeatable }]);
        const cluster = await startTestCluster({ manifest, upstreams });
        test.teardown(cluster.close);
        const [host, port] = cluster.nodes[0]?.callerAddress().split(':') ?? [];
        const authorization = `Bearer ${cluster.key}`;
        const headers = { authorization, 'content-length': 200_000 };
        const request = httpRequest({ host, port, method: 'POST', path: '/statements', headers });
        request.on('error', () => undefined);
        request.write(Buffer.alloc(100_000));
        const counters = () => cluster.upstreams.at(-1)?.counters();
        test.ok(await until(() => counters()?.running === 1), 'the upstream receives the body');
        cluster.fleet.withdraw(cluster.key);
        const [status, reason, outcome] = await new Promise<unknown[]>((resolve) => {
          request.once('response', (response) => {
            const { 'buckthornslip-reason': why, 'buckthornslip-outcome': what } = response.headers;
            resolve([response.statusCode, why, what]);
          });
        });
        request.destroy();
        test.same([status, reason, outcome], [401, 'key-withdrawn', 'may-have-run']);
        test.ok(
          await until(() => counters()?.running === 0),
          'the call is cancelled at the upstream',
        );
        test.equal(counters()?.completed, 0);
      },
    );
  }
}
