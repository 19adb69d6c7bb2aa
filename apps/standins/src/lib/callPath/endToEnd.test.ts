import { createHash } from 'node:crypto';

import t from 'tap';

import { patternChunks } from '../http/patternBytes';
import { sendRequest } from '../http/sendRequest';
import { createTestManifest } from '../node/createTestManifest';
import { startTestCluster } from '../node/startTestCluster';

for (const upstreams of [[{}], [undefined, {}]]) {
  void t.test(
    `a call with a key reaches the upstream through ${upstreams.length} node(s)`,
    async (test) => {
      const cluster = await startTestCluster({ upstreams });
      test.teardown(cluster.close);
      const address = cluster.nodes[0]?.callerAddress() ?? '';
      const headers = { authorization: `Bearer ${cluster.key}` };
      const response = await sendRequest({
        address,
        method: 'GET',
        path: '/statements/7',
        headers,
      });
      test.equal(response.status, 200);
      test.match(JSON.parse(response.body.toString()), { account: 'ciema-banka', received: 0 });
      test.equal(typeof response.headers['buckthornslip-load'], 'string');
    },
  );

  void t.test(
    `large request and response bodies arrive intact through ${upstreams.length} node(s)`,
    async (test) => {
      const cluster = await startTestCluster({ upstreams });
      test.teardown(cluster.close);
      const address = cluster.nodes[0]?.callerAddress() ?? '';
      const headers = { authorization: `Bearer ${cluster.key}` };
      const body = Buffer.concat([...patternChunks(5_000_000)]);
      const path = '/statements';
      const upload = await sendRequest({ address, method: 'POST', path, headers, body });
      const { digest } = JSON.parse(upload.body.toString()) as { digest: string };
      test.equal(digest, createHash('sha256').update(body).digest('hex'));
      const chunked = await sendRequest({
        address,
        method: 'POST',
        path,
        body,
        headers: { ...headers, 'transfer-encoding': 'chunked' },
      });
      test.equal((JSON.parse(chunked.body.toString()) as { received: number }).received, 5_000_000);
      const download = await sendRequest({
        address,
        method: 'GET',
        path: '/statements?bytes=5000000',
        headers,
      });
      const received = createHash('sha256').update(download.body).digest('hex');
      test.equal(received, download.headers['x-body-digest']);
    },
  );
}

void t.test('refusals carry a reason and an outcome', async (test) => {
  const manifest = createTestManifest(
    [{}, { name: 'ledger', pathPrefix: '/ledger', methods: ['GET'] }],
    { routes: ['statements'] },
  );
  const cluster = await startTestCluster({ manifest, upstreams: [{}] });
  test.teardown(cluster.close);
  const address = cluster.nodes[0]?.callerAddress() ?? '';
  const good = { authorization: `Bearer ${cluster.key}` };
  const cases = [
    { path: '/statements', headers: {}, status: 401, reason: 'key-missing' },
    {
      path: '/statements',
      headers: { authorization: 'Bearer wrong' },
      status: 401,
      reason: 'key-unknown',
    },
    { path: '/ledger', headers: good, status: 403, reason: 'route-not-allowed' },
    { path: '/statementsx', headers: good, status: 404, reason: 'route-not-found' },
    { path: '/statements/../ledger', headers: good, status: 400, reason: 'request-invalid' },
    { path: '/statements/%2e%2e/ledger', headers: good, status: 400, reason: 'request-invalid' },
    { path: '/statements//x', headers: good, status: 400, reason: 'request-invalid' },
    { path: `/statements?k=${cluster.key}`, headers: good, status: 400, reason: 'request-invalid' },
    {
      path: '/statements',
      headers: { ...good, 'buckthornslip-timeout': 'x' },
      status: 400,
      reason: 'header-invalid',
    },
  ];
  for (const { headers, path, reason, status } of cases) {
    const response = await sendRequest({ address, method: 'GET', path, headers });
    test.equal(response.status, status, path);
    test.equal(response.headers['content-type'], 'application/problem+json');
    test.match(response.headers, {
      'buckthornslip-reason': reason,
      'buckthornslip-outcome': 'not-run',
    });
  }
  cluster.fleet.setFresh(false);
  const stale = await sendRequest({ address, method: 'GET', path: '/statements', headers: good });
  test.equal(stale.headers['buckthornslip-reason'], 'configuration-stale');
});

void t.test('a nested call keeps the account and context of its parent', async (test) => {
  const manifest = createTestManifest([
    {},
    { name: 'ledger', pathPrefix: '/ledger', service: 'ledger' as never },
  ]);
  const accounts: unknown[] = [];
  const cluster = await startTestCluster({
    manifest,
    upstreams: [
      { chain: ['/ledger/1'] },
      {
        service: 'ledger',
        observe: ({ headers }) => accounts.push(headers['buckthornslip-account']),
      },
    ],
  });
  test.teardown(cluster.close);
  const address = cluster.nodes[0]?.callerAddress() ?? '';
  const headers = { authorization: `Bearer ${cluster.key}` };
  const response = await sendRequest({ address, method: 'GET', path: '/statements', headers });
  test.match(JSON.parse(response.body.toString()), { chain: [200] });
  test.same(accounts, ['ciema-banka']);
  const outgoingAddress = cluster.nodes[0]?.outgoingAddress() ?? '';
  const without = await sendRequest({ address: outgoingAddress, method: 'GET', path: '/ledger/1' });
  test.equal(without.status, 403, 'a keyed route requires a context');
});

void t.test('an invalid announcement is rejected with every error', async (test) => {
  const cluster = await startTestCluster({ upstreams: [undefined] });
  test.teardown(cluster.close);
  const address = cluster.nodes[0]?.outgoingAddress() ?? '';
  const body = Buffer.from(JSON.stringify({ service: '', address: 'x', slots: 0, connections: 1 }));
  const response = await sendRequest({ address, method: 'POST', path: '/announce', body });
  test.equal(response.status, 400);
  const { errors } = JSON.parse(response.body.toString()) as { errors: { path: string }[] };
  const paths = errors.map((error) => error.path).sort();
  test.same(paths, ['address', 'coldStartMilliseconds', 'service', 'slots', 'state']);
});

void t.test('a request head just below the limit for callers passes all hops', async (test) => {
  const cluster = await startTestCluster({ upstreams: [undefined, {}] });
  test.teardown(cluster.close);
  const address = cluster.nodes[0]?.callerAddress() ?? '';
  const headers = { authorization: `Bearer ${cluster.key}`, 'x-long': 'a'.repeat(12_000) };
  const response = await sendRequest({ address, method: 'GET', path: '/statements', headers });
  test.equal(response.status, 200);
});
