import { createServer } from 'node:net';

/** Below the ephemeral ports of Linux, since the benchmark opens many outgoing connections. */
const FIRST_PORT = 10_000;
const PORT_RANGE = 20_000;

/** Depends on the process id, so that benchmarks that run at the same time start at different ports. */
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
 * Finds free ports outside the ephemeral range, so that no outgoing connection takes them before a process listens.
 *
 * @param count - Number of ports.
 * @returns Free ports.
 * @internal
 */
export async function findFreePorts(count: number): Promise<readonly number[]> {
  return Promise.all(Array.from({ length: count }, findFreePort));
}
