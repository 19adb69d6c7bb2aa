import t from 'tap';

import { patternChunks } from '../http/patternBytes';
import { sendRequest } from '../http/sendRequest';
import { createTestManifest } from '../node/createTestManifest';
import { startTestCluster } from '../node/startTestCluster';
import type { ProxyLimits, FaultProxy } from '../proxy/createFaultProxy';
import { createFaultProxy } from '../proxy/createFaultProxy';
import { announce } from '../upstream/announce';

const FIRST_BYTE_MILLISECONDS = 200;

/** An entry node that reaches its only peer through a relay. */
async function startBehindRelay(repeatable: boolean) {
  const relays: FaultProxy[] = [];
  const peerAddress = async (actual: string): Promise<string> => {
    const relay = createFaultProxy(actual);
    relays.push(relay);
    return relay.listen();
  };
  const manifest = createTestManifest([{ repeatable }], {}, FIRST_BYTE_MILLISECONDS);
  const system = await startTestCluster({
    manifest,
    upstreams: [undefined, {}],
    node: { peerAddress },
  });
  const relay = relays[1] as FaultProxy;
  const address = system.nodes[0]?.callerAddress() ?? '';
  const authorization = `Bearer ${system.key}`;
  const close = async (): Promise<void> => {
    relays.forEach((one) => one.close());
    await system.close();
  };
  return { system, relay, address, authorization, close };
}

const UNLIMITED: ProxyLimits = { towardsServerBytes: Infinity, towardsClientBytes: Infinity };

const places: Readonly<Record<string, Partial<ProxyLimits>>> = {
  accept: { towardsServerBytes: 0, towardsClientBytes: 0 },
  'request body': { towardsServerBytes: 20_000 },
  'response head': { towardsClientBytes: 10 },
};

for (const [place, limits] of Object.entries(places)) {
  void t.test(`silence at ${place}: the call ends and new connections are used`, async (test) => {
    const { address, authorization, close, relay, system } = await startBehindRelay(true);
    test.teardown(close);
    relay.setLimits({ ...UNLIMITED, ...limits });
    const body = Buffer.concat([...patternChunks(60_000)]);
    const path = '/statements';
    const sent = { address, method: 'POST', path, headers: { authorization }, body };
    const startedAt = performance.now();
    const silent = await sendRequest(sent);
    test.equal(silent.status, 504);
    test.equal(silent.headers['buckthornslip-outcome'], 'may-have-run');
    test.ok(performance.now() - startedAt < 3_000, 'before the deadline');
    relay.setLimits(UNLIMITED);
    const next = await sendRequest(sent);
    test.equal(next.status, 200, 'a new connection works');
    test.ok(system.fleet.members.size === 2);
  });
}

void t.test('silence in a response body is an error to the caller', async (test) => {
  const { address, authorization, close, relay } = await startBehindRelay(true);
  test.teardown(close);
  relay.setLimits({ ...UNLIMITED, towardsClientBytes: 100_000 });
  const path = '/statements?bytes=1000000';
  const startedAt = performance.now();
  await test.rejects(sendRequest({ address, method: 'GET', path, headers: { authorization } }));
  test.ok(performance.now() - startedAt < 3_000, 'before the deadline');
});

void t.test(
  'idle connections that went silent are retired and the peer is suspected',
  async (test) => {
    const { address, authorization, close, relay, system } = await startBehindRelay(true);
    test.teardown(close);
    const sent = { address, method: 'GET', path: '/statements', headers: { authorization } };
    await Promise.all(Array.from({ length: 12 }, () => sendRequest(sent)));
    relay.silenceOpen();
    const silent = await Promise.all(Array.from({ length: 3 }, () => sendRequest(sent)));
    test.same(
      silent.map(({ status }) => status),
      [504, 504, 504],
    );
    test.same(system.fleet.suspected, ['host-1'], 'three silences suspect the peer once');
    const next = await sendRequest(sent);
    test.equal(next.status, 200, 'the other idle connections are not used any more');
  },
);

void t.test('a silent connection does not run a non-repeatable call twice', async (test) => {
  const { address, authorization, close, relay, system } = await startBehindRelay(false);
  test.teardown(close);
  relay.setLimits({ ...UNLIMITED, towardsClientBytes: 0 });
  setTimeout(() => relay.setLimits(UNLIMITED), FIRST_BYTE_MILLISECONDS);
  const headers = { authorization, 'idempotency-key': 'invoice-1' };
  const sent = { address, method: 'POST', path: '/statements', headers, body: Buffer.from('x') };
  const response = await sendRequest(sent);
  test.equal(response.status, 200, 'the attempt was resumed');
  const again = await sendRequest(sent);
  test.same(again.body, response.body, 'a repeat gets the stored response');
  test.same(system.upstreams[1]?.counters().runs, { 'invoice-1': 1 });
  const other = await sendRequest({ ...sent, body: Buffer.from('y') });
  test.equal(other.status, 422, 'the key was used for another request');
});

void t.test('a reset while a non-repeatable call runs is resumed', async (test) => {
  const { address, authorization, close, relay, system } = await startBehindRelay(false);
  test.teardown(close);
  system.upstreams[1]?.setFaults({ slowMilliseconds: 100 });
  const headers = { authorization, 'idempotency-key': 'invoice-2' };
  const sent = { address, method: 'POST', path: '/statements', headers, body: Buffer.from('x') };
  setTimeout(() => relay.resetOpen(), 50);
  const response = await sendRequest(sent);
  test.equal(response.status, 200);
  test.same(system.upstreams[1]?.counters().runs, { 'invoice-2': 1 });
});

void t.test('a later incarnation does not run an attempt of the earlier one', async (test) => {
  const { address, authorization, close, system } = await startBehindRelay(false);
  test.teardown(close);
  const headers = { authorization, 'idempotency-key': 'invoice-3' };
  const sent = { address, method: 'POST', path: '/statements', headers, body: Buffer.from('x') };
  await sendRequest(sent);
  const [[key, binding] = []] = [...system.fleet.bindings];
  if (key === undefined || binding === undefined) throw new Error('no binding');
  const servingNode = { ...binding.servingNode, incarnation: 0 as never };
  system.fleet.bindings.set(key, { ...binding, servingNode });
  const gone = await sendRequest(sent);
  test.equal(gone.status, 409);
  test.match(gone.headers, {
    'buckthornslip-reason': 'outcome-unknown',
    'buckthornslip-outcome': 'may-have-run',
  });
  // The entry node's view of the host may be older than the process that answers there.
  const member = system.fleet.members.get('host-1');
  if (member !== undefined)
    system.fleet.members.set('host-1', { ...member, incarnation: 0 as never });
  const refused = await sendRequest(sent);
  test.equal(refused.status, 409, 'the serving node checks its incarnation');
  test.same(system.upstreams[1]?.counters().runs, { 'invoice-3': 1 });
});

void t.test(
  'a silent upstream is reported by its own node and its connection is not used again',
  async (test) => {
    const manifest = createTestManifest([{}], {}, FIRST_BYTE_MILLISECONDS);
    const system = await startTestCluster({ manifest, upstreams: [{}] });
    const relay = createFaultProxy(system.upstreams[0]?.address() ?? '');
    test.teardown(async () => {
      relay.close();
      await system.close();
    });
    const capacity = { slots: 8, connections: 8, state: 'ready', coldStartMilliseconds: 0 };
    const announcement = { service: 'statements', address: await relay.listen(), ...capacity };
    await announce(system.nodes[0]?.outgoingAddress() ?? '', announcement);
    const address = system.nodes[0]?.callerAddress() ?? '';
    const headers = { authorization: `Bearer ${system.key}` };
    const sent = { address, method: 'GET', path: '/statements', headers };
    test.equal((await sendRequest(sent)).status, 200);
    relay.silenceOpen();
    const silent = await sendRequest(sent);
    test.equal(silent.headers['buckthornslip-reason'], 'upstream-silent');
    test.equal((await sendRequest(sent)).status, 200, 'a new connection works');
  },
);
