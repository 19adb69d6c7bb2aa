import { setTimeout as sleep } from 'node:timers/promises';

import t from 'tap';

import { patternChunks } from '../http/patternBytes';
import { sendRequest } from '../http/sendRequest';
import { createTestManifest } from '../node/createTestManifest';
import { startTestCluster } from '../node/startTestCluster';

async function start(upstreams: Parameters<typeof startTestCluster>[0]['upstreams']) {
  const manifest = createTestManifest([{ repeatable: false, idempotencyKey: 'required' }]);
  const cluster = await startTestCluster({ manifest, upstreams });
  const address = cluster.nodes[0]?.callerAddress() ?? '';
  const send = (key: string | undefined, body = 'x') =>
    sendRequest({
      address,
      method: 'POST',
      path: '/statements',
      headers: {
        authorization: `Bearer ${cluster.key}`,
        ...(key === undefined ? {} : { 'idempotency-key': key }),
      },
      body: Buffer.from(body),
    });
  const runs = (node: number) => cluster.upstreams[node]?.counters().runs;
  return { cluster, send, runs };
}

void t.test(
  'a request without the idempotency key that its route requires is refused',
  async (test) => {
    const { send, cluster } = await start([{}]);
    test.teardown(cluster.close);
    const response = await send(undefined);
    test.equal(response.status, 400);
    test.equal(response.headers['buckthornslip-reason'], 'idempotency-key-required');
  },
);

void t.test('concurrent repeats run once and get the same response', async (test) => {
  const { runs, send, cluster } = await start([undefined, { latencyMilliseconds: 100 }, {}]);
  test.teardown(cluster.close);
  const responses = await Promise.all(Array.from({ length: 8 }, () => send('draw-1')));
  test.same(
    responses.map(({ status }) => status),
    Array.from({ length: 8 }, () => 200),
  );
  test.equal(new Set(responses.map(({ body }) => body.toString())).size, 1);
  const total = Object.values({ ...runs(1), ...runs(2) });
  test.same(total, [1]);
});

void t.test(
  'an idempotency key is released only after the attempt has ended at the serving node',
  async (test) => {
    const { runs, send, cluster } = await start([undefined, { latencyMilliseconds: 400 }, {}]);
    test.teardown(cluster.close);
    // Opens connections before the drain, because new ones may no longer be accepted during it.
    await Promise.all(['w1', 'w2', 'w3', 'w4'].map((key) => send(key)));
    const first = send('draw-2');
    await sleep(100);
    const binding = [...cluster.fleet.bindings.values()].at(-1);
    const index = cluster.nodes.findIndex(
      ({ identity }) => identity.host === binding?.servingNode.host,
    );
    const drained = cluster.nodes[index]?.serving.drain();
    await sleep(20);
    const repeat = await send('draw-2');
    test.equal(repeat.status, 200, 'a repeat joins the running attempt during the drain');
    test.equal((await first).status, 200);
    await drained;
    const counts = [runs(1), runs(2)].flatMap((all) => Object.values(all ?? {}));
    test.same(counts, [1, 1, 1, 1, 1], 'five keys, one run each');
  },
);

void t.test('a new call that reaches a draining node runs at another node', async (test) => {
  const { runs, send, cluster } = await start([undefined, {}, {}]);
  test.teardown(cluster.close);
  await Promise.all([send('warm-1'), send('warm-2')]);
  const drained = cluster.nodes[1]?.serving.drain();
  const responses = await Promise.all(['a', 'b', 'c', 'd'].map((key) => send(key)));
  const statuses = responses.map(({ status }) => status);
  test.ok(
    statuses.every((status) => status === 200 || status === 502),
    statuses.join(' '),
  );
  test.ok(statuses.includes(200));
  await drained;
  const counts = [runs(1), runs(2)].flatMap((all) => Object.values(all ?? {}));
  test.ok(counts.every((count) => count === 1));
});

void t.test(
  'after an upstream is lost, the outcome is unknown and the key stays bound',
  async (test) => {
    const { runs, send, cluster } = await start([undefined, { latencyMilliseconds: 200 }, {}]);
    test.teardown(cluster.close);
    const calls = [send('draw-3'), send('draw-4')];
    await sleep(80);
    cluster.upstreams[1]?.crash();
    const statuses = (await Promise.all(calls)).map(({ status }) => status).sort();
    test.same(statuses, [200, 502]);
    const repeats = await Promise.all([send('draw-3'), send('draw-4')]);
    test.same(repeats.map(({ status }) => status).sort(), [200, 409]);
    test.ok(Object.values(runs(2) ?? {}).every((count) => count === 1));
  },
);

void t.test('a large response is not stored; a repeat is told that the call ran', async (test) => {
  const { send, cluster } = await start([{}]);
  test.teardown(cluster.close);
  const address = cluster.nodes[0]?.callerAddress() ?? '';
  const headers = { authorization: `Bearer ${cluster.key}`, 'idempotency-key': 'large' };
  const body = Buffer.concat([...patternChunks(200_000)]);
  const sent = { address, method: 'POST', path: '/statements?bytes=300000', headers, body };
  const first = await sendRequest(sent);
  test.equal(first.body.length, 300_000);
  const repeat = await sendRequest(sent);
  test.equal(repeat.status, 409);
  test.equal(repeat.headers['buckthornslip-outcome'], 'ran');
  test.equal((await send('other')).status, 200);
});
