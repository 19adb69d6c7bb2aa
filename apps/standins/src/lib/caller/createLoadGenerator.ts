import { createHash, randomUUID } from 'node:crypto';
import type { OutgoingHttpHeaders } from 'node:http';
import { Agent } from 'node:http';
import { setTimeout as sleep } from 'node:timers/promises';

import { headerNames } from '@buckthornslip/wire';
import { build } from 'hdr-histogram-js';

import { patternChunks } from '../http/patternBytes';
import type { ReceivedResponse } from '../http/sendRequest';
import { sendRequest } from '../http/sendRequest';
import type { LoadGeneratorOptions } from './LoadGeneratorOptions';
import type { LoadSummary } from './LoadSummary';

const TIMEOUT_MILLISECONDS = 10_000;

/** Microseconds in a millisecond; latencies are recorded in microseconds. */
const MICROSECONDS = 1_000;

/**
 * Sends requests at a constant rate and summarizes the responses.
 *
 * @public
 */
export interface LoadGenerator {
  readonly run: () => Promise<LoadSummary>;
}

function count(counts: Map<string, number>, key: string): void {
  counts.set(key, (counts.get(key) ?? 0) + 1);
}

function headersOf(options: LoadGeneratorOptions): OutgoingHttpHeaders {
  return {
    ...(options.key === undefined ? {} : { authorization: `Bearer ${options.key}` }),
    ...(options.idempotent === true ? { [headerNames.idempotencyKey]: randomUUID() } : {}),
    ...(options.marker === undefined ? {} : { 'x-marker': options.marker }),
  };
}

function isDamaged({ body, headers }: ReceivedResponse): boolean {
  const expected = headers['x-body-digest'];
  return expected !== undefined && createHash('sha256').update(body).digest('hex') !== expected;
}

function createRecorder() {
  const byStatus = new Map<string, number>();
  const byReason = new Map<string, number>();
  const histogram = build({ lowestDiscernibleValue: 1, highestTrackableValue: 60_000_000 });
  let damaged = 0;
  return {
    failed: () => count(byStatus, 'error'),
    answered: (response: ReceivedResponse, milliseconds: number) => {
      count(byStatus, String(response.status));
      const reason = response.headers[headerNames.reason];
      if (typeof reason === 'string') count(byReason, reason);
      if (isDamaged(response)) damaged += 1;
      histogram.recordValue(Math.max(1, Math.round(milliseconds * MICROSECONDS)));
    },
    summary: (elapsedMilliseconds: number): LoadSummary => {
      const at = (percentile: number): number =>
        histogram.getValueAtPercentile(percentile) / MICROSECONDS;
      return {
        byStatus: Object.fromEntries(byStatus),
        byReason: Object.fromEntries(byReason),
        damaged,
        elapsedMilliseconds,
        latencyMilliseconds: { p50: at(50), p90: at(90), p99: at(99), max: at(100) },
      };
    },
  };
}

/**
 * Creates an open-loop load generator. Requests start on schedule even if earlier ones are still in progress, so that
 * slow responses don't lower the request rate.
 *
 * @param options - Options of the load.
 * @returns The load generator.
 * @public
 */
export function createLoadGenerator(options: LoadGeneratorOptions): LoadGenerator {
  const { address, bodyBytes = 0, method = 'GET', path } = options;
  const body = bodyBytes > 0 ? Buffer.concat([...patternChunks(bodyBytes)]) : undefined;

  const sendOne = async (agent: Agent, recorder: ReturnType<typeof createRecorder>) => {
    const startedAt = performance.now();
    const signal = AbortSignal.timeout(options.timeoutMilliseconds ?? TIMEOUT_MILLISECONDS);
    const headers = headersOf(options);
    try {
      const response = await sendRequest({ address, method, path, headers, body, agent, signal });
      recorder.answered(response, performance.now() - startedAt);
    } catch {
      recorder.failed();
    }
  };
  return {
    run: async () => {
      const agent = new Agent({ keepAlive: true });
      const recorder = createRecorder();
      const startedAt = performance.now();
      const running: Promise<void>[] = [];
      for (let index = 0; index < options.count; index += 1) {
        const wait = startedAt + (index * 1000) / options.ratePerSecond - performance.now();
        if (wait > 0) await sleep(wait);
        running.push(sendOne(agent, recorder));
      }
      await Promise.all(running);
      agent.destroy();
      return recorder.summary(performance.now() - startedAt);
    },
  };
}
