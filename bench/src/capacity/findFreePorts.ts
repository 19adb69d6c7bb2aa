import { createServer } from 'node:net';

/** Below the ports that Linux gives to outgoing connections, of which the bench opens many. */
const FIRST_PORT = 10_000;
const PORT_RANGE = 20_000;

/** Programs of the bench that run at the same time begin at different ports. */
let offset = (process.pid * 137) % PORT_RANGE;

function isFree(port: number): Promise<boolean> {
  return new Promise((resolve) => {
    const server = createServer();
    server.once('error', () => resolve(false));
    server.listen(port, '127.0.0.1', () => server.close(() => resolve(true)));
  });
}

async function findFreePort(): Promise<number> {
  offset = (offset + 1) % PORT_RANGE;
  const port = FIRST_PORT + offset;
  return (await isFree(port)) ? port : findFreePort();
}

/**
 * Finds ports that no outgoing connection takes before a process listens on them.
 *
 * @param count - Number of ports.
 * @returns The ports.
 * @internal
 */
export async function findFreePorts(count: number): Promise<readonly number[]> {
  return Promise.all(Array.from({ length: count }, findFreePort));
}
