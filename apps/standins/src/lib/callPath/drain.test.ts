import { Agent } from 'node:http';
import { setTimeout as sleep } from 'node:timers/promises';

import t from 'tap';

import { sendRequest } from '../http/sendRequest';
import { startTestCluster } from '../node/startTestCluster';

// Guards against a drain that cuts off calls in progress, or leaves their connections open. The calls end after the drain has
// begun: the head of an answer that was sent before it can't ask the caller to close the connection.
void t.test('a drain finishes calls in progress and refuses new ones as not run', async (test) => {
  let beforeAnswer = Promise.resolve();
  const upstreams = [{ latencyMilliseconds: 300, beforeAnswer: () => beforeAnswer }];
  const cluster = await startTestCluster({ upstreams });
  test.teardown(cluster.close);
  const address = cluster.nodes[0]?.callerAddress() ?? '';
  const agent = new Agent({ keepAlive: true });
  test.teardown(() => agent.destroy());
  const headers = { authorization: `Bearer ${cluster.key}` };
  const sent = { address, method: 'GET', path: '/statements', headers, agent };
  await Promise.all(Array.from({ length: 5 }, () => sendRequest(sent)));
  let answer = (): void => undefined;
  beforeAnswer = new Promise((resolve) => {
    answer = resolve;
  });
  const running = Array.from({ length: 20 }, () =>
    sendRequest({ ...sent, path: '/statements?bytes=500000' }),
  );
  while ((cluster.upstreams[0]?.counters().started ?? 0) < 25) await sleep(5);
  const drained = cluster.nodes[0]?.entry.drain();
  answer();
  const late = await sendRequest(sent).catch((error: NodeJS.ErrnoException) => error.code);
  if (typeof late === 'object') {
    test.match(late.headers, {
      'buckthornslip-reason': 'node-stopping',
      'buckthornslip-outcome': 'not-run',
    });
  } else test.equal(late, 'ECONNREFUSED');
  const responses = await Promise.all(running);
  test.ok(responses.every(({ status }) => status === 200));
  test.ok(responses.every((response) => response.body.length === 500_000));
  test.ok(responses.every((response) => response.headers.connection === 'close'));
  await drained;
  const refused = await sendRequest(sent).catch((error: NodeJS.ErrnoException) => error.code);
  test.equal(refused, 'ECONNREFUSED');
});

void t.test('a drain under load loses no request', async (test) => {
  const cluster = await startTestCluster({ upstreams: [{ latencyMilliseconds: 5 }, {}] });
  test.teardown(cluster.close);
  const agent = new Agent({ keepAlive: true });
  test.teardown(() => agent.destroy());
  const headers = { authorization: `Bearer ${cluster.key}` };
  const address = cluster.nodes[0]?.callerAddress() ?? '';
  const results: (number | string | undefined)[] = [];
  const sendOne = async (): Promise<void> => {
    const sent = { address, method: 'GET', path: '/statements', headers, agent };
    const result = await sendRequest(sent).catch((error: NodeJS.ErrnoException) => error.code);
    const isRefused = typeof result === 'object' && result.status === 503;
    if (isRefused) test.equal(result.headers['buckthornslip-reason'], 'node-stopping');
    results.push(typeof result === 'object' ? result.status : result);
  };
  const calls: Promise<void>[] = [];
  for (let index = 0; index < 300; index += 1) {
    calls.push(sendOne());
    await sleep(1);
    if (index === 100) calls.push(cluster.nodes[0]?.entry.drain() ?? Promise.resolve());
  }
  await Promise.all(calls);
  const kinds = new Set(results);
  test.ok(results.filter((result) => result === 200).length >= 100);
  // A refused connection is a safe refusal; a reset would mean that a request was aborted.
  test.ok(
    [...kinds].every((kind) => kind === 200 || kind === 503 || kind === 'ECONNREFUSED'),
    [...kinds].join(' '),
  );
});
