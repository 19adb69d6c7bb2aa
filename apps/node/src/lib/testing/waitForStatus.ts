import { setTimeout as sleep } from 'node:timers/promises';

import type { ReceivedResponse } from '@buckthornslip/app-standins';

const LIMIT_MILLISECONDS = 15_000;
const INTERVAL_MILLISECONDS = 50;

/**
 * Repeats a request until the response has the expected status or the time limit is reached.
 *
 * @param status - Expected status.
 * @param attempt - Sends the request.
 * @returns The last response.
 * @internal
 */
export async function waitForStatus(
  status: number,
  attempt: () => Promise<ReceivedResponse>,
): Promise<ReceivedResponse> {
  const end = Date.now() + LIMIT_MILLISECONDS;
  let response = await attempt();
  while (response.status !== status && Date.now() < end) {
    await sleep(INTERVAL_MILLISECONDS);
    response = await attempt();
  }
  return response;
}
