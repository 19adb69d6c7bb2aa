import type { IncomingMessage, ServerResponse } from 'node:http';
import { Agent, request as httpRequest } from 'node:http';
import { setTimeout as sleep } from 'node:timers/promises';

import { splitAddress } from '@buckthornslip/calls';
import { createSystemClock } from '@buckthornslip/common';
import { createSilentLogger } from '@buckthornslip/telemetry';
import t from 'tap';

import { defaultConnectionLimits } from '../http/connections/defaultConnectionLimits';
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
    const handle = (_request: IncomingMessage, response: ServerResponse): Promise<void> => {
      response.end('done');
      return Promise.resolve();
    };
    const listener = createCallerListener(createSilentLogger(), handle, {
      clock: createSystemClock(),
      limits: defaultConnectionLimits,
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
