import { Agent, request as httpRequest } from 'node:http';
import { setTimeout as sleep } from 'node:timers/promises';

import type { RandomSource } from '@buckthornslip/common';
import { createSeededRandom } from '@buckthornslip/common';
import { build } from 'hdr-histogram-js';

import { answerCommands } from './lib/answerCommands';
import { BENCH_KEY } from './lib/BENCH_KEY';
import type { Command } from './lib/Command';
import type { LoadResult } from './lib/LoadResult';

/** Requests of this first part of a run are not counted, since code is compiled and connections are opened; in ms. */
const WARM_UP_MILLISECONDS = 1_000;

const agent = new Agent({ keepAlive: true, maxSockets: 64 });
const headers = { authorization: `Bearer ${BENCH_KEY}` };

function sendOne(host: string, port: string): Promise<boolean> {
  return new Promise((resolve) => {
    const request = httpRequest({ host, port, path: '/statements/7', agent, headers });
    request.once('error', () => resolve(false));
    request.once('response', (response) => {
      response
        .resume()
        .once('close', () => resolve(response.complete && response.statusCode === 200));
    });
    request.end();
  });
}

/** Poisson arrivals, as from many independent callers. */
function nextGap(random: RandomSource, ratePerSecond: number): number {
  return (-Math.log(1 - random.next()) * 1000) / ratePerSecond;
}

async function runLoad(command: Command & { readonly kind: 'load' }): Promise<LoadResult> {
  const { address, milliseconds, ratePerSecond, seed } = command;
  const [host = '', port = ''] = address.split(':');
  const random = createSeededRandom(seed);
  const histogram = build({ lowestDiscernibleValue: 1, highestTrackableValue: 60_000_000 });
  let requests = 0;
  let failures = 0;
  const running = new Set<Promise<void>>();
  const startedAt = performance.now();
  const sendAt = async (due: number): Promise<void> => {
    const ok = await sendOne(host, port);
    if (due - startedAt < WARM_UP_MILLISECONDS) return;
    requests += 1;
    if (!ok) failures += 1;
    histogram.recordValue(Math.max(1, Math.round((performance.now() - due) * 1000)));
  };
  let due = startedAt;
  while (due - startedAt < milliseconds) {
    // Timers fire up to a millisecond late, so latency is measured from the actual start of the request.
    const wait = due - performance.now();
    if (wait > 0) await sleep(wait);
    const call = sendAt(performance.now());
    running.add(call);
    void call.then(() => running.delete(call));
    due += nextGap(random, ratePerSecond);
  }
  await Promise.all(running);
  const at = (percentile: number): number => histogram.getValueAtPercentile(percentile) / 1000;
  return { requests, failures, p50Milliseconds: at(50), p99Milliseconds: at(99) };
}

answerCommands(async (command) =>
  command.kind === 'load' ? { load: await runLoad(command) } : {},
);
