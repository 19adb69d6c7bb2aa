import type { AccountId, Clock, Priority, RandomSource } from '@buckthornslip/common';

import { sampleExponential } from '../sampleExponential';
import type { Attempt, Serve } from './Attempt';
import type { RunStatistics } from './createRunStatistics';
import type { Scenario } from './Scenario';

const ACCOUNTS = 8;

/** Maximum attempts of a client for one request. */
const ATTEMPTS = 4;

/** Maximum backoff between attempts, in milliseconds. It is short, as with clients that have no retry budget. */
const BACKOFF_MILLISECONDS = 50;

const DEADLINE_MILLISECONDS = 400;

/** Distribution of priorities; each request draws one of the entries. */
const PRIORITIES: readonly Priority[] = [
  'critical',
  'high',
  'high',
  'normal',
  'normal',
  'normal',
  'normal',
  'normal',
  'low',
  'low',
];

/** Sends requests with Poisson arrivals and retries those that fail, until the scenario ends. */
export async function runClients(
  scenario: Scenario,
  clock: Clock,
  random: RandomSource,
  statistics: RunStatistics,
  serve: Serve,
  requestsPerSecond: (nowMilliseconds: number) => number,
): Promise<void> {
  const drawAccount = (): AccountId => {
    const draw = random.next() * (ACCOUNTS - 1 + scenario.surge);
    const index = draw < scenario.surge ? 0 : 1 + Math.floor(draw - scenario.surge);
    return `account-${index}` as AccountId;
  };

  const send = async (attempt: Attempt): Promise<void> => {
    statistics.recordRequest(attempt);
    let isServed = false;
    for (let count = 0; count < ATTEMPTS && !isServed; count += 1) {
      if (count > 0) await clock.sleep(random.next() * BACKOFF_MILLISECONDS);
      const outcome = await serve(attempt);
      if (outcome === 'refused') statistics.recordRefusal(attempt);
      isServed = outcome === 'served';
    }
    statistics.recordEnd(attempt, isServed, clock.monotonicMilliseconds());
  };

  const surgeFactor = (ACCOUNTS - 1 + scenario.surge) / ACCOUNTS;
  while (clock.monotonicMilliseconds() < scenario.durationMilliseconds) {
    const rate = requestsPerSecond(clock.monotonicMilliseconds()) * surgeFactor;
    await clock.sleep(sampleExponential(random, 1_000 / rate));
    void send({
      account: drawAccount(),
      priority: PRIORITIES[random.nextInteger(PRIORITIES.length)] ?? 'normal',
      deadlineMilliseconds: DEADLINE_MILLISECONDS,
    });
  }
}
