import { createServer } from 'node:net';
import type { AddressInfo } from 'node:net';
import { setTimeout as sleep } from 'node:timers/promises';

import { createSeededRandom } from '@buckthornslip/common';
import t from 'tap';

import { sendRequest } from '../http/sendRequest';
import { createTestManifest } from '../node/createTestManifest';
import { startTestCluster } from '../node/startTestCluster';
import { announce } from '../upstream/announce';

const SEED = 20_261_204;
const REQUESTS = 400;

/**
 * Starts an upstream that responds late, twice, or after the caller has timed out. Each response body is the marker of
 * its request.
 */
async function startErraticUpstream(seed: number) {
  const random = createSeededRandom(seed);
  const server = createServer((socket) => {
    let text = '';
    socket.on('error', () => undefined);
    socket.on('data', (chunk) => {
      text += chunk.toString('latin1');
      for (let end = text.indexOf('\r\n\r\n'); end >= 0; end = text.indexOf('\r\n\r\n')) {
        const marker = /x-marker: (\w+)/i.exec(text.slice(0, end))?.[1] ?? '';
        text = text.slice(end + 4);
        const response = `HTTP/1.1 200 OK\r\nContent-Length: ${marker.length}\r\n\r\n${marker}`;
        // Two responses in one write: the second must not be taken for the response to the next request.
        const copies = random.nextInteger(8) === 0 ? 2 : 1;
        const send = (): void => {
          if (socket.writable) socket.write(response.repeat(copies));
        };
        setTimeout(send, random.nextInteger(4) === 0 ? 60 + random.nextInteger(60) : 1);
      }
    });
  });
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  return { address: `127.0.0.1:${(server.address() as AddressInfo).port}`, server };
}

async function announceUpstream(node: string, upstream: string): Promise<void> {
  const capacity = { slots: 20, connections: 20, state: 'ready', coldStartMilliseconds: 0 };
  await announce(node, { service: 'statements', address: upstream, ...capacity });
}

void t.test(`each caller receives the response to its own request, seed ${SEED}`, async (test) => {
  const manifest = createTestManifest([{}], {}, 50);
  const cluster = await startTestCluster({ manifest, upstreams: [undefined, undefined] });
  const upstream = await startErraticUpstream(SEED);
  test.teardown(async () => {
    await cluster.close();
    upstream.server.close();
  });
  await announceUpstream(cluster.nodes[1]?.outgoingAddress() ?? '', upstream.address);
  const address = cluster.nodes[0]?.callerAddress() ?? '';
  const random = createSeededRandom(SEED);
  const counts = { matched: 0, refused: 0, mismatched: 0 };
  const sendOne = async (index: number): Promise<void> => {
    const marker = `m${index}`;
    const timeout = String(20 + random.nextInteger(150));
    const authorization = `Bearer ${cluster.key}`;
    const headers = { authorization, 'x-marker': marker, 'buckthornslip-timeout': timeout };
    const response = await sendRequest({ address, method: 'GET', path: '/statements', headers });
    if (response.status !== 200) counts.refused += 1;
    else if (response.body.toString() === marker) counts.matched += 1;
    else counts.mismatched += 1;
  };
  for (let sent = 0; sent < REQUESTS; sent += 10) {
    await Promise.all(Array.from({ length: 10 }, (_, index) => sendOne(sent + index)));
  }
  test.comment(counts);
  test.equal(counts.mismatched, 0);
  test.ok(counts.matched > REQUESTS / 4, 'most calls are answered');
  test.ok(counts.refused > 0, 'some calls time out');
});

void t.test('an unsolicited response is not delivered to the next caller', async (test) => {
  const server = createServer((socket) => {
    socket.on('error', () => undefined);
    socket.on('data', () => {
      const response = (text: string): string =>
        `HTTP/1.1 200 OK\r\nContent-Length: ${text.length}\r\n\r\n${text}`;
      socket.write(response('own'));
      setTimeout(() => socket.writable && socket.write(response('late')), 20);
    });
  });
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  const cluster = await startTestCluster({ upstreams: [undefined] });
  test.teardown(async () => {
    await cluster.close();
    server.close();
  });
  const upstream = `127.0.0.1:${(server.address() as AddressInfo).port}`;
  await announceUpstream(cluster.nodes[0]?.outgoingAddress() ?? '', upstream);
  const address = cluster.nodes[0]?.callerAddress() ?? '';
  const headers = { authorization: `Bearer ${cluster.key}` };
  for (let index = 0; index < 3; index += 1) {
    const sent = { address, method: 'GET', path: '/statements', headers };
    test.equal((await sendRequest(sent)).body.toString(), 'own');
    await sleep(60);
  }
});

/** Starts an upstream that refuses some requests, and writes a refusal once more when the next request arrives. */
async function startRepeatingUpstream() {
  const runs = new Set<string>();
  const refusal = `HTTP/1.1 503 Busy\r\nbuckthornslip-outcome: not-run\r\nContent-Length: 0\r\n\r\n`;
  const server = createServer((socket) => {
    let refused = false;
    socket.on('error', () => undefined);
    socket.on('data', (chunk) => {
      const marker = /x-marker: (\w+)/i.exec(chunk.toString('latin1'))?.[1] ?? '';
      if (refused) socket.write(refusal);
      refused = marker.startsWith('refused');
      if (refused) {
        socket.write(refusal);
        return;
      }
      runs.add(marker);
      setTimeout(() => socket.write('HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok'), 20);
    });
  });
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  return { address: `127.0.0.1:${(server.address() as AddressInfo).port}`, server, runs };
}

// Guards against telling callers 'not run' for requests that an upstream is running, and against running them a second time: a
// faulty upstream repeats a refusal on a connection that was kept.
void t.test('a repeated refusal is not taken for the refusal of the next request', async (test) => {
  const manifest = createTestManifest([{}], {}, 50);
  const cluster = await startTestCluster({ manifest, upstreams: [undefined] });
  const upstream = await startRepeatingUpstream();
  test.teardown(async () => {
    await cluster.close();
    upstream.server.close();
  });
  await announceUpstream(cluster.nodes[0]?.outgoingAddress() ?? '', upstream.address);
  const address = cluster.nodes[0]?.callerAddress() ?? '';
  const send = (marker: string) => {
    const headers = { authorization: `Bearer ${cluster.key}`, 'x-marker': marker };
    return sendRequest({ address, method: 'GET', path: '/statements', headers });
  };
  for (let index = 0; index < 5; index += 1) {
    const refused = await send(`refused${index}`);
    test.equal(refused.headers['buckthornslip-outcome'], 'not-run');
    const marker = `run${index}`;
    const answered = await send(marker);
    test.equal(answered.status, 200);
    test.ok(upstream.runs.has(marker));
  }
});
