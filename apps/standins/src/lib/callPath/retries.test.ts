import t from 'tap';

import { patternChunks } from '../http/patternBytes';
import { sendRequest } from '../http/sendRequest';
import { createTestManifest } from '../node/createTestManifest';
import { startTestCluster } from '../node/startTestCluster';

const cases = [
  {
    name: 'a shed call is retried at another upstream',
    fault: { shedShare: 1 },
    repeatable: true,
    bytes: 10,
    status: 200,
  },
  {
    name: 'a shed non-repeatable call has not run and is retried',
    fault: { shedShare: 1 },
    repeatable: false,
    bytes: 10,
    status: 200,
  },
  {
    name: 'a repeatable call to a silent upstream is retried at another one',
    fault: { silent: true },
    repeatable: true,
    bytes: 10,
    status: 200,
  },
  {
    name: 'a non-repeatable call to a silent upstream is not retried',
    fault: { silent: true },
    repeatable: false,
    bytes: 10,
    status: 504,
  },
  {
    name: 'a call with a streamed body is not retried',
    fault: { silent: true },
    repeatable: true,
    bytes: 200_000,
    status: 504,
  },
];

for (const { bytes, fault, name, repeatable, status } of cases) {
  void t.test(name, async (test) => {
    const manifest = createTestManifest([{ repeatable }], {}, 150);
    const cluster = await startTestCluster({ manifest, upstreams: [undefined, {}, {}] });
    test.teardown(cluster.close);
    const address = cluster.nodes[0]?.callerAddress() ?? '';
    cluster.upstreams[1]?.setFaults(fault);
    const body = Buffer.concat([...patternChunks(bytes)]);
    const statuses: number[] = [];
    for (let index = 0; index < 2; index += 1) {
      const headers = { authorization: `Bearer ${cluster.key}`, 'x-marker': String(index) };
      const sent = { address, method: 'POST', path: '/statements', headers, body };
      statuses.push((await sendRequest(sent)).status);
    }
    test.ok(statuses.includes(status), `statuses ${statuses.join(' ')}`);
    test.ok(statuses.every((one) => one === 200 || one === status));
    if (!repeatable) {
      const runs = [1, 2].flatMap((node) =>
        Object.values(cluster.upstreams[node]?.counters().runs ?? {}),
      );
      test.ok(
        runs.every((count) => count === 1),
        'each call ran at most once',
      );
      test.equal(runs.length, 2, 'no marker ran at two upstreams');
    }
  });
}

void t.test('a call that crashed its upstream is not retried', async (test) => {
  const cluster = await startTestCluster({ upstreams: [undefined, {}, {}] });
  test.teardown(cluster.close);
  const address = cluster.nodes[0]?.callerAddress() ?? '';
  for (const upstream of cluster.upstreams) upstream?.setFaults({ crashMarker: 'crash-me' });
  const headers = { authorization: `Bearer ${cluster.key}`, 'x-marker': 'crash-me' };
  const sent = { address, method: 'GET', path: '/statements', headers };
  const crashed = await sendRequest(sent);
  test.equal(crashed.status, 502);
  test.equal(crashed.headers['buckthornslip-outcome'], 'may-have-run');
  const others = await Promise.all(
    Array.from({ length: 6 }, (_, index) =>
      sendRequest({
        ...sent,
        path: `/statements/${index}`,
        headers: { ...headers, 'x-marker': 'fine' },
      }),
    ),
  );
  test.ok(
    others.every(({ status }) => status === 200),
    'the other upstream still serves',
  );
});

void t.test('calls are refused as not run after the upstream is lost', async (test) => {
  const cluster = await startTestCluster({ upstreams: [{}] });
  test.teardown(cluster.close);
  const address = cluster.nodes[0]?.callerAddress() ?? '';
  const headers = { authorization: `Bearer ${cluster.key}` };
  cluster.upstreams[0]?.crash();
  for (let index = 0; index < 2; index += 1) {
    const refused = await sendRequest({ address, method: 'GET', path: '/statements', headers });
    test.ok([502, 503].includes(refused.status));
    test.equal(refused.headers['buckthornslip-outcome'], 'not-run');
  }
});

void t.test(
  "an upstream's repeated nested calls are charged to the root call's retry budget",
  async (test) => {
    const manifest = createTestManifest([
      { retryBudget: 1 },
      { name: 'ledger', pathPrefix: '/ledger', service: 'ledger' as never },
    ]);
    const cluster = await startTestCluster({
      manifest,
      upstreams: [{ chain: ['/ledger', '/ledger', '/ledger'] }, { service: 'ledger' }],
    });
    test.teardown(cluster.close);
    const address = cluster.nodes[0]?.callerAddress() ?? '';
    const headers = { authorization: `Bearer ${cluster.key}` };
    const response = await sendRequest({ address, method: 'GET', path: '/statements', headers });
    test.match(JSON.parse(response.body.toString()), { chain: [200, 200, 503] });
  },
);
