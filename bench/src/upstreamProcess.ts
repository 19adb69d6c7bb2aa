import { createServer } from 'node:http';
import type { AddressInfo } from 'node:net';

import { answerCommands } from './lib/answerCommands';
import { cpuMilliseconds } from './lib/cpuMilliseconds';

const body = Buffer.alloc(200, 'a');

/** Minimal upstream, which adds as little as possible to the measured latency. */
const server = createServer({ keepAliveTimeout: 60_000 }, (request, response) => {
  request.resume();
  response.writeHead(200, { 'content-length': body.length }).end(body);
});
server.listen(0, '127.0.0.1');

answerCommands(async () => ({
  address: `127.0.0.1:${(server.address() as AddressInfo).port}`,
  cpuMilliseconds: cpuMilliseconds(),
}));
