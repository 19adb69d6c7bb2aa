import { connect } from 'node:net';
import { setTimeout as sleep } from 'node:timers/promises';

import t from 'tap';

import { sendRequest } from '../http/sendRequest';
import { startTestCluster } from '../node/startTestCluster';

const BODY_BYTES = 40_000_000;
const READERS = 4;

/** Well below the 160 MB that the readers request; the socket buffers of all hops hold some megabytes. */
const GROWTH_LIMIT_BYTES = 40_000_000;

void t.test('nodes do not buffer responses for slow readers', async (test) => {
  const cluster = await startTestCluster({ upstreams: [undefined, {}] });
  test.teardown(cluster.close);
  const address = cluster.nodes[0]?.callerAddress() ?? '';
  const headers = { authorization: `Bearer ${cluster.key}` };
  await sendRequest({ address, method: 'GET', path: '/statements?bytes=5000000', headers });
  const [host, port] = address.split(':');
  const before = process.memoryUsage().rss;
  const readers = Array.from({ length: READERS }, () => {
    const socket = connect(Number(port), host);
    const lines = [
      `GET /statements?bytes=${BODY_BYTES} HTTP/1.1`,
      'Host: node',
      `Authorization: Bearer ${cluster.key}`,
      '',
      '',
    ];
    socket.pause();
    socket.on('error', () => undefined);
    socket.write(lines.join('\r\n'));
    return socket;
  });
  let peak = 0;
  for (let step = 0; step < 20; step += 1) {
    await sleep(50);
    peak = Math.max(peak, process.memoryUsage().rss - before);
  }
  test.comment(`memory grew by ${(peak / 1e6).toFixed(1)} MB`);
  test.ok(peak < GROWTH_LIMIT_BYTES);
  for (const reader of readers) reader.destroy();
  await sleep(200);
  test.equal(
    cluster.upstreams[1]?.counters().running,
    0,
    'calls of disconnected readers are cancelled',
  );
});
