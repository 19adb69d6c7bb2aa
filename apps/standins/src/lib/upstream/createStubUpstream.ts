import { Agent, createServer } from 'node:http';
import type { AddressInfo } from 'node:net';
import { setTimeout as sleep } from 'node:timers/promises';

import { createSeededRandom } from '@buckthornslip/common';

import { announce } from './announce';
import { createCounters } from './createCounters';
import { serveCall } from './serveCall';
import { serveControl } from './serveControl';
import type { StubUpstream } from './StubUpstream';
import { upstreamFaultsSchema } from './UpstreamFaults';
import type { UpstreamOptions } from './UpstreamOptions';

const SLOTS = 32;
const CONNECTIONS = 256;

/** Time for the draining state to propagate, in which calls still arrive and are served, in milliseconds. */
const DRAIN_MILLISECONDS = 2_000;

/** Interval at which to check whether all calls in progress have ended, in milliseconds. */
const POLL_MILLISECONDS = 20;

/**
 * Creates a stub upstream.
 *
 * @param options - Options of the upstream.
 * @returns The upstream, not listening.
 * @public
 */
export function createStubUpstream(options: UpstreamOptions): StubUpstream {
  const { connections = CONNECTIONS, node, service, slots = SLOTS } = options;
  const { coldStartMilliseconds = 0, listen = { address: '127.0.0.1', port: 0 } } = options;
  const counters = createCounters();
  const agent = new Agent({ keepAlive: true });
  let faults = upstreamFaultsSchema.parse({});
  let draining = false;
  let startedAt = 0;
  const setFaults: StubUpstream['setFaults'] = (changed) => {
    faults = { ...faults, ...changed };
  };
  const control = { counters: counters.snapshot, faults: () => faults, setFaults };
  const serving = {
    options: { ...options, slots },
    agent,
    counters,
    random: createSeededRandom(options.seed ?? 1),
    faults: () => faults,
    isDraining: () => draining,
    isCold: () => performance.now() - startedAt < coldStartMilliseconds,
    crash: () => (options.crash ?? closeNow)(),
  };
  const server = createServer({ keepAliveTimeout: 60_000 }, (request, response) => {
    if (!serveControl(control, request, response)) void serveCall(serving, request, response);
  });
  function closeNow(): void {
    server.close();
    server.closeAllConnections();
    agent.destroy();
  }
  const address = (): string => {
    const info = server.address() as AddressInfo;
    return `${info.address}:${info.port}`;
  };
  const announceState = async (state: string): Promise<void> => {
    if (node === undefined) return;
    const capacity = { slots, connections, coldStartMilliseconds };
    await announce(node, { service, address: address(), state, ...capacity });
  };
  return {
    start: async () => {
      await new Promise<void>((resolve) => {
        server.listen(listen.port, listen.address, resolve);
      });
      startedAt = performance.now();
      await announceState('ready');
    },
    address,
    counters: counters.snapshot,
    setFaults,
    stop: async () => {
      await announceState('draining');
      await sleep(node === undefined ? 0 : DRAIN_MILLISECONDS);
      draining = true;
      while (counters.snapshot().running > 0) await sleep(POLL_MILLISECONDS);
      await announceState('left');
      server.close();
      server.closeAllConnections();
      agent.destroy();
    },
    crash: closeNow,
  };
}
