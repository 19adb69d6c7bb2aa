import { setTimeout as sleep } from 'node:timers/promises';

import { sendRequest } from '../http/sendRequest';

/** Attempts to announce the upstream; the node may still be starting. */
const ATTEMPTS = 50;

/** Pause between attempts, in milliseconds. */
const PAUSE_MILLISECONDS = 100;

/**
 * Announces an upstream to its node.
 *
 * @param node - "address:port" of the node's outgoing listener.
 * @param announcement - Announcement to send as JSON.
 * @returns Resolves when the node accepts the announcement; rejects if all attempts fail.
 * @internal
 */
export async function announce(node: string, announcement: object): Promise<void> {
  const body = Buffer.from(JSON.stringify(announcement));
  let lastError: unknown;
  for (let attempt = 0; attempt < ATTEMPTS; attempt += 1) {
    try {
      const sent = {
        address: node,
        method: 'POST',
        path: '/announce',
        body,
        agent: false,
      } as const;
      const { status } = await sendRequest(sent);
      if (status === 204) return;
      lastError = new Error(`the node answered an announcement with status ${status}`);
    } catch (error) {
      lastError = error;
    }
    await sleep(PAUSE_MILLISECONDS);
  }
  throw lastError;
}
