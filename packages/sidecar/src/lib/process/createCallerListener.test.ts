import { Agent, request as httpRequest } from 'node:http';
import { setTimeout as sleep } from 'node:timers/promises';

import { splitAddress } from '@buckthornslip/calls';
import { createSilentLogger } from '@buckthornslip/telemetry';
import t from 'tap';

import { reserveAddress } from '../testing/reserveAddress';
import { createCallerListener } from './createCallerListener';

/** @returns The status, or the code of the error. */
function get(address: string, agent: Agent): Promise<number | string | undefined> {
  return new Promise((resolve) => {
    httpRequest({ ...splitAddress(address), agent, path: '/' }, (response) => {
      response.resume().once('end', () => resolve(response.statusCode));
    })
      .once('error', (error: NodeJS.ErrnoException) => resolve(error.code))
      .end();
  });
}

// Guards against a planned stop that cuts off requests on connections that were idle when the listener was closed.
void t.test(
  'a request on an open connection is answered after the listener closed',
  async (test) => {
    const listener = createCallerListener(createSilentLogger(), (_request, response) => {
      response.end('done');
      return Promise.resolve();
    });
    const agent = new Agent({ keepAlive: true, maxSockets: 1 });
    test.teardown(() => {
      agent.destroy();
      listener.closeConnections();
    });
    const address = await reserveAddress();
    await listener.listen(address);
    test.equal(await get(address, agent), 200);
    await listener.stopAccepting();
    await sleep(50);
    test.equal(await get(address, agent), 200);
    test.equal(await get(address, new Agent()), 'ECONNREFUSED');
  },
);
