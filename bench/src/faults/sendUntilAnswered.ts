import { setTimeout as sleep } from 'node:timers/promises';

import { sendRequest } from '@buckthornslip/app-standins';
import type { RandomSource } from '@buckthornslip/common';

import type { DemoHost } from '../demo/DemoHost';
import type { CallRecord } from './CallRecord';

const MAXIMUM_ATTEMPTS = 6;
const TIMEOUT_MILLISECONDS = 6_000;
const PAUSE_MILLISECONDS = 300;

/** Result of one attempt. */
interface AttemptResult {
  readonly answer: string;
  readonly isNotRun: boolean;
}

async function sendOnce(host: DemoHost, key: string, name: string): Promise<AttemptResult> {
  const controller = new AbortController();
  const timer = setTimeout(() => controller.abort(), TIMEOUT_MILLISECONDS);
  try {
    const { headers, status } = await sendRequest({
      address: `127.0.0.1:${host.ports.callers}`,
      path: '/subsidies/confirmations',
      method: 'POST',
      headers: { authorization: `Bearer ${key}`, 'idempotency-key': name },
      body: Buffer.from(name),
      signal: controller.signal,
    });
    const reason = headers['buckthornslip-reason'];
    const isNotRun = headers['buckthornslip-outcome'] === 'not-run';
    return { answer: reason ? `${status} ${String(reason)}` : String(status), isNotRun };
  } catch {
    return { answer: 'lost', isNotRun: false };
  } finally {
    clearTimeout(timer);
  }
}

/**
 * Sends a confirmation and retries it with the same idempotency key, each time through a random node, until an attempt
 * gets status 200 or all attempts are used up.
 *
 * @param hosts - Hosts whose nodes receive the attempts.
 * @param key - Key of the client account.
 * @param name - Idempotency key.
 * @param random - Source of the choice of nodes.
 * @returns Responses of all attempts.
 */
export async function sendUntilAnswered(
  hosts: readonly DemoHost[],
  key: string,
  name: string,
  random: RandomSource,
): Promise<CallRecord> {
  const attempts: AttemptResult[] = [];
  let isAnswered = false;
  while (attempts.length < MAXIMUM_ATTEMPTS && !isAnswered) {
    const host = hosts[random.nextInteger(hosts.length)] as DemoHost;
    const attempt = await sendOnce(host, key, name);
    attempts.push(attempt);
    isAnswered = attempt.answer === '200';
    if (!isAnswered) await sleep(PAUSE_MILLISECONDS);
  }
  return {
    key: name,
    answers: attempts.map(({ answer }) => answer),
    isNotRun: attempts.every(({ isNotRun }) => isNotRun),
    isAnswered,
  };
}
