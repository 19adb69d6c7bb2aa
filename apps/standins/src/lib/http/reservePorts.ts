import { once } from 'node:events';
import { createServer } from 'node:net';

/**
 * Range to search for free ports. It is below the operating system's ephemeral port range, so that no outgoing
 * connection takes a reserved port before its listener is open.
 */
const FIRST_PORT = 15_000;
const LAST_PORT = 32_000;

/** Distance between the first ports tried by processes with consecutive ids. */
const PORTS_PER_PROCESS = 397;

let nextOffset = (process.pid * PORTS_PER_PROCESS) % (LAST_PORT - FIRST_PORT);

async function isFree(port: number): Promise<boolean> {
  const server = createServer();
  try {
    server.listen(port, '127.0.0.1');
    await once(server, 'listening');
    return true;
  } catch {
    return false;
  } finally {
    server.close();
  }
}

/**
 * Finds free ports on the loopback address.
 *
 * @param count - Number of ports.
 * @returns The ports. This process doesn't reserve the same port again before it has gone through the whole range.
 * @public
 */
export async function reservePorts(count: number): Promise<number[]> {
  const ports: number[] = [];
  while (ports.length < count) {
    const port = FIRST_PORT + nextOffset;
    nextOffset = (nextOffset + 1) % (LAST_PORT - FIRST_PORT);
    if (await isFree(port)) ports.push(port);
  }
  return ports;
}
