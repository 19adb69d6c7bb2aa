import type { Server } from 'node:http';

/** Consecutive polls without an arrival: one poll accepts a connection, and the next one reads its request. */
const QUIET_POLLS = 2;

/** Bounds the wait under load, in polls of the event loop. */
const MAXIMUM_POLLS = 1_024;

/**
 * Waits until the event loop has polled without a new connection or request, so that everything that had arrived before was
 * accepted and read; a poll accepts at most one connection of a listener. A listener that closes right afterwards resets as
 * few requests as possible.
 *
 * @param server - The server.
 * @public
 */
export async function waitForQuietPoll(server: Server): Promise<void> {
  let quietPolls = 0;
  const recordArrival = (): void => {
    quietPolls = 0;
  };
  server.on('connection', recordArrival).on('request', recordArrival);
  for (let polls = 0; polls < MAXIMUM_POLLS && quietPolls < QUIET_POLLS; polls += 1) {
    quietPolls += 1;
    await new Promise((resolve) => {
      setImmediate(resolve);
    });
  }
  server.off('connection', recordArrival).off('request', recordArrival);
}
