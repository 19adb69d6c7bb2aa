import { once } from 'node:events';
import type { AddressInfo } from 'node:net';
import { createServer } from 'node:net';

/**
 * Finds a free port on the loopback address, for listeners that need a known address.
 *
 * @returns "address:port".
 * @internal
 */
export async function reserveAddress(): Promise<string> {
  const probe = createServer().listen(0, '127.0.0.1');
  await once(probe, 'listening');
  const { port } = probe.address() as AddressInfo;
  probe.close();
  await once(probe, 'close');
  return `127.0.0.1:${port}`;
}
