import { createHash } from 'node:crypto';
import type { Agent, IncomingMessage, ServerResponse } from 'node:http';
import { setTimeout as sleep } from 'node:timers/promises';

import type { RandomSource } from '@buckthornslip/common';
import { headerNames } from '@buckthornslip/wire';

import { readAll } from '../http/readAll';
import { callChain } from './callChain';
import type { createCounters } from './createCounters';
import type { UpstreamFaults } from './UpstreamFaults';
import type { UpstreamOptions } from './UpstreamOptions';
import { writeResult } from './writeResult';

/** Factor by which calls are slower during a cold start. */
const COLD_START_FACTOR = 3;

/**
 * State and options that serving a call depends on.
 *
 * @internal
 */
export interface StubUpstreamState {
  readonly options: UpstreamOptions;
  readonly agent: Agent;
  readonly counters: ReturnType<typeof createCounters>;
  readonly random: RandomSource;
  readonly faults: () => UpstreamFaults;
  readonly isDraining: () => boolean;
  readonly isCold: () => boolean;
  readonly crash: () => void;
}

function header(request: IncomingMessage, name: string): string | undefined {
  const value = request.headers[name];
  return Array.isArray(value) ? value[0] : value;
}

function isShed(state: StubUpstreamState): boolean {
  const { counters, options, random } = state;
  const isFull = counters.snapshot().running >= (options.slots ?? Infinity);
  return state.isDraining() || isFull || random.next() < state.faults().shedShare;
}

function shed(state: StubUpstreamState, request: IncomingMessage, response: ServerResponse): void {
  state.counters.count('shed');
  request.resume();
  response.writeHead(503, { [headerNames.outcome]: 'not-run', 'content-length': 0 }).end();
}

/** Creates a signal that aborts when the client disconnects or the deadline passes. */
function createCallSignal(request: IncomingMessage, response: ServerResponse): AbortSignal {
  const controller = new AbortController();
  response.once('close', () => controller.abort());
  const timeout = Number(header(request, headerNames.timeout) ?? Infinity);
  return Number.isFinite(timeout)
    ? AbortSignal.any([controller.signal, AbortSignal.timeout(timeout)])
    : controller.signal;
}

function latency(state: StubUpstreamState): number {
  const { latencyMilliseconds = 0 } = state.options;
  const factor = state.isCold() ? COLD_START_FACTOR : 1;
  return latencyMilliseconds * factor + state.faults().slowMilliseconds;
}

async function executeCall(
  state: StubUpstreamState,
  request: IncomingMessage,
  signal: AbortSignal,
): Promise<object> {
  const body = await readAll(request);
  const marker = header(request, 'x-marker');
  if (marker !== undefined && marker === state.faults().crashMarker) state.crash();
  const key = header(request, headerNames.idempotencyKey) ?? marker;
  if (key !== undefined) state.counters.countRun(key);
  const milliseconds = latency(state);
  if (milliseconds > 0) await sleep(milliseconds, undefined, { signal });
  const { chain = [], node, service } = state.options;
  const statuses =
    node === undefined ? [] : await callChain(node, state.agent, request, chain, signal);
  const digest = createHash('sha256').update(body).digest('hex');
  const account = header(request, headerNames.account);
  return { service, marker, account, received: body.length, digest, chain: statuses };
}

async function runCall(
  state: StubUpstreamState,
  request: IncomingMessage,
  response: ServerResponse,
): Promise<void> {
  const signal = createCallSignal(request, response);
  const result = await executeCall(state, request, signal);
  if (state.faults().silent) return;
  await state.options.beforeAnswer?.();
  const url = new URL(request.url ?? '/', 'http://upstream');
  const bytes = Number(url.searchParams.get('bytes') ?? 0);
  await writeResult(response, result, bytes, state.faults().truncate);
  state.counters.count('completed');
}

/**
 * Serves one call.
 *
 * @param state - Options, faults and counters.
 * @param request - Request of the call.
 * @param response - Response to write to.
 * @internal
 */
export async function serveCall(
  state: StubUpstreamState,
  request: IncomingMessage,
  response: ServerResponse,
): Promise<void> {
  state.options.observe?.(request);
  if (isShed(state)) {
    shed(state, request, response);
    return;
  }
  state.counters.count('started');
  state.counters.addRunning(1);
  response.once('close', () => {
    state.counters.addRunning(-1);
    if (!response.writableFinished) state.counters.count('cancelled');
  });
  try {
    await runCall(state, request, response);
  } catch {
    if (response.destroyed) return;
    // The deadline passed or a nested call failed. Without an outcome header, the response doesn't count as a refusal.
    response.writeHead(504, { 'content-length': 0 }).end();
  }
}
