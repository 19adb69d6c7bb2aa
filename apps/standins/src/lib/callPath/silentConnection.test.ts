import t from 'tap';

import { patternChunks } from '../http/patternBytes';
import { sendRequest } from '../http/sendRequest';
import { createTestManifest } from '../node/createTestManifest';
import { startTestCluster } from '../node/startTestCluster';
import type { FaultProxy, ProxyLimits } from '../proxy/createFaultProxy';
import { createFaultProxy } from '../proxy/createFaultProxy';
import { announce } from '../upstream/announce';

const FIRST_BYTE_MILLISECONDS = 200;

/** Starts an entry node that reaches its only peer through a proxy. */
async function startBehindProxy(repeatable: boolean) {
  const proxies: FaultProxy[] = [];
  const peerAddress = async (actual: string): Promise<string> => {
    const proxy = createFaultProxy(actual);
    proxies.push(proxy);
    return proxy.listen();
  };
  const manifest = createTestManifest([{ repeatable }], {}, FIRST_BYTE_MILLISECONDS);
  const cluster = await startTestCluster({
    manifest,
    upstreams: [undefined, {}],
    node: { peerAddress },
  });
  const proxy = proxies[1] as FaultProxy;
  const address = cluster.nodes[0]?.callerAddress() ?? '';
  const authorization = `Bearer ${cluster.key}`;
  const close = async (): Promise<void> => {
    proxies.forEach((one) => one.close());
    await cluster.close();
  };
  return { cluster, proxy, address, authorization, close };
}

const UNLIMITED: ProxyLimits = { towardsServerBytes: Infinity, towardsClientBytes: Infinity };

const stallPoints: Readonly<Record<string, Partial<ProxyLimits>>> = {
  accept: { towardsServerBytes: 0, towardsClientBytes: 0 },
  'request body': { towardsServerBytes: 20_000 },
  'response head': { towardsClientBytes: 10 },
};

for (const [stallPoint, limits] of Object.entries(stallPoints)) {
  void t.test(
    `a connection that stalls at ${stallPoint} fails the call, and new connections are used`,
    async (test) => {
      const { address, authorization, close, proxy, cluster } = await startBehindProxy(true);
      test.teardown(close);
      proxy.setLimits({ ...UNLIMITED, ...limits });
      const body = Buffer.concat([...patternChunks(60_000)]);
      const path = '/statements';
      const sent = { address, method: 'POST', path, headers: { authorization }, body };
      const startedAt = performance.now();
      const silent = await sendRequest(sent);
      test.equal(silent.status, 504);
      test.equal(silent.headers['buckthornslip-outcome'], 'may-have-run');
      test.ok(performance.now() - startedAt < 3_000, 'before the deadline');
      proxy.setLimits(UNLIMITED);
      const next = await sendRequest(sent);
      test.equal(next.status, 200, 'a new connection works');
      test.ok(cluster.fleet.members.size === 2);
    },
  );
}

void t.test('a stall in a response body is an error for the caller', async (test) => {
  const { address, authorization, close, proxy } = await startBehindProxy(true);
  test.teardown(close);
  proxy.setLimits({ ...UNLIMITED, towardsClientBytes: 100_000 });
  const path = '/statements?bytes=1000000';
  const startedAt = performance.now();
  await test.rejects(sendRequest({ address, method: 'GET', path, headers: { authorization } }));
  test.ok(performance.now() - startedAt < 3_000, 'before the deadline');
});

void t.test('idle connections that stalled are retired and the peer is suspected', async (test) => {
  const { address, authorization, close, proxy, cluster } = await startBehindProxy(true);
  test.teardown(close);
  const sent = { address, method: 'GET', path: '/statements', headers: { authorization } };
  await Promise.all(Array.from({ length: 12 }, () => sendRequest(sent)));
  proxy.stopForwarding();
  const silent = await Promise.all(Array.from({ length: 3 }, () => sendRequest(sent)));
  test.same(
    silent.map(({ status }) => status),
    [504, 504, 504],
  );
  test.same(cluster.fleet.suspected, ['host-1'], 'three stalled calls suspect the peer once');
  const next = await sendRequest(sent);
  test.equal(next.status, 200, 'the other idle connections are no longer used');
});

void t.test('a stalled connection does not make a non-repeatable call run twice', async (test) => {
  const { address, authorization, close, proxy, cluster } = await startBehindProxy(false);
  test.teardown(close);
  proxy.setLimits({ ...UNLIMITED, towardsClientBytes: 0 });
  setTimeout(() => proxy.setLimits(UNLIMITED), FIRST_BYTE_MILLISECONDS);
  const headers = { authorization, 'idempotency-key': 'invoice-1' };
  const sent = { address, method: 'POST', path: '/statements', headers, body: Buffer.from('x') };
  const response = await sendRequest(sent);
  test.equal(response.status, 200, 'the attempt was resumed');
  const again = await sendRequest(sent);
  test.same(again.body, response.body, 'a repeat gets the stored response');
  test.same(cluster.upstreams[1]?.counters().runs, { 'invoice-1': 1 });
  const other = await sendRequest({ ...sent, body: Buffer.from('y') });
  test.equal(other.status, 422, 'the key was used for another request');
});

void t.test('a non-repeatable call resumes after a connection reset', async (test) => {
  const { address, authorization, close, proxy, cluster } = await startBehindProxy(false);
  test.teardown(close);
  cluster.upstreams[1]?.setFaults({ slowMilliseconds: 100 });
  const headers = { authorization, 'idempotency-key': 'invoice-2' };
  const sent = { address, method: 'POST', path: '/statements', headers, body: Buffer.from('x') };
  setTimeout(() => proxy.resetOpen(), 50);
  const response = await sendRequest(sent);
  test.equal(response.status, 200);
  test.same(cluster.upstreams[1]?.counters().runs, { 'invoice-2': 1 });
});

void t.test('a later incarnation does not run an attempt of the earlier one', async (test) => {
  const { address, authorization, close, cluster } = await startBehindProxy(false);
  test.teardown(close);
  const headers = { authorization, 'idempotency-key': 'invoice-3' };
  const sent = { address, method: 'POST', path: '/statements', headers, body: Buffer.from('x') };
  await sendRequest(sent);
  const [[key, binding] = []] = [...cluster.fleet.bindings];
  if (key === undefined || binding === undefined) throw new Error('no binding');
  const servingNode = { ...binding.servingNode, incarnation: 0 as never };
  cluster.fleet.bindings.set(key, { ...binding, servingNode });
  const gone = await sendRequest(sent);
  test.equal(gone.status, 409);
  test.match(gone.headers, {
    'buckthornslip-reason': 'outcome-unknown',
    'buckthornslip-outcome': 'may-have-run',
  });
  // The entry node's record of the host may be older than the process that now runs there.
  const member = cluster.fleet.members.get('host-1');
  if (member !== undefined)
    cluster.fleet.members.set('host-1', { ...member, incarnation: 0 as never });
  const refused = await sendRequest(sent);
  test.equal(refused.status, 409, 'the serving node checks its incarnation');
  test.same(cluster.upstreams[1]?.counters().runs, { 'invoice-3': 1 });
});

void t.test(
  'a node reports its silent upstream and does not reuse the connection',
  async (test) => {
    const manifest = createTestManifest([{}], {}, FIRST_BYTE_MILLISECONDS);
    const cluster = await startTestCluster({ manifest, upstreams: [{}] });
    const proxy = createFaultProxy(cluster.upstreams[0]?.address() ?? '');
    test.teardown(async () => {
      proxy.close();
      await cluster.close();
    });
    const capacity = { slots: 8, connections: 8, state: 'ready', coldStartMilliseconds: 0 };
    const announcement = { service: 'statements', address: await proxy.listen(), ...capacity };
    await announce(cluster.nodes[0]?.outgoingAddress() ?? '', announcement);
    const address = cluster.nodes[0]?.callerAddress() ?? '';
    const headers = { authorization: `Bearer ${cluster.key}` };
    const sent = { address, method: 'GET', path: '/statements', headers };
    test.equal((await sendRequest(sent)).status, 200);
    proxy.stopForwarding();
    const silent = await sendRequest(sent);
    test.equal(silent.headers['buckthornslip-reason'], 'upstream-silent');
    test.equal((await sendRequest(sent)).status, 200, 'a new connection works');
  },
);
