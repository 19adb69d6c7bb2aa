import { once } from 'node:events';
import { Agent, createServer, request as httpRequest } from 'node:http';
import type { AddressInfo } from 'node:net';

import t from 'tap';

import { stopAccepting } from './stopAccepting';

const CONNECTIONS = 40;

async function startServer() {
  const server = createServer((_request, response) => response.end('done'));
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  const { port } = server.address() as AddressInfo;
  /** @returns The status, or the code of the error. */
  const get = (agent: Agent): Promise<number | string | undefined> =>
    new Promise((resolve) => {
      httpRequest({ host: '127.0.0.1', port, agent }, (response) => {
        response.resume().once('end', () => resolve(response.statusCode));
      })
        .once('error', (error: NodeJS.ErrnoException) => resolve(error.code))
        .end();
    });
  return { server, get };
}

// Guards against resetting connections that wait to be accepted: the event loop accepts one of them per poll.
void t.test('connections that wait to be accepted are answered', async (test) => {
  const { get, server } = await startServer();
  const agent = new Agent({ keepAlive: false });
  const answers = Array.from({ length: CONNECTIONS }, () => get(agent));
  await stopAccepting(server);
  const failed = (await Promise.all(answers)).filter((answer) => answer !== 200);
  test.same(failed, []);
  test.equal(await get(agent), 'ECONNREFUSED');
});

// Guards against closing connections that are idle, on which a request may be in flight.
void t.test('open connections are still served', async (test) => {
  const { get, server } = await startServer();
  const agent = new Agent({ keepAlive: true, maxSockets: 1 });
  test.teardown(() => {
    agent.destroy();
    server.closeAllConnections();
  });
  test.equal(await get(agent), 200);
  await stopAccepting(server);
  test.equal(await get(agent), 200);
});

// Guards against an error when a drain is followed by a close.
void t.test('a closed listener can be closed again', async (test) => {
  const { server } = await startServer();
  await stopAccepting(server);
  await test.resolves(stopAccepting(server));
});
