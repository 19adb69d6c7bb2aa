import type { HttpLimits } from '@buckthornslip/calls';
import { defaultHttpLimits } from '@buckthornslip/calls';
import type { ServiceId } from '@buckthornslip/common';
import { failure, success } from '@buckthornslip/common';
import type { FaultProxy, TestCluster, UpstreamOptions } from '@buckthornslip/app-standins';
import {
  createFaultProxy,
  createTestManifest,
  startTestCluster,
} from '@buckthornslip/app-standins';

import type { CallStep } from './rows';

/** Retry budget of the routes under test, per root call. */
export const RETRY_BUDGET = 3;

/** An entry node and two serving nodes behind TCP proxies, with hooks at the steps of a call. */
export interface CallFixture {
  readonly cluster: TestCluster;
  /** TCP proxies in front of the peer listeners, by node; the one of the entry node has no traffic. */
  readonly proxies: readonly FaultProxy[];
  /**
   * Runs an action once, when the next call reaches the step. Actions of one step run in the order of their
   * registration.
   */
  readonly onceAtStep: (step: CallStep, action: () => void) => void;
  /** Runs the actions registered for a step. */
  readonly reportStep: (step: CallStep) => void;
  /** Makes the account limiter refuse each call, as it does while no token server holds the lease. */
  readonly makeLimiterUnavailable: () => void;
  /** Raw names and values of all headers that the upstreams received. */
  readonly upstreamHeaders: string[];
  readonly close: () => Promise<void>;
}

/** Options that differ between cells. */
export interface CallFixtureOptions {
  readonly repeatable: boolean;
  readonly firstByteMilliseconds?: number;
  readonly upstream?: Partial<UpstreamOptions>;
}

function createStepHooks() {
  const pending = new Map<CallStep, (() => void)[]>();
  return {
    onceAtStep: (step: CallStep, action: () => void): void => {
      pending.set(step, [...(pending.get(step) ?? []), action]);
    },
    reportStep: (step: CallStep): void => {
      const actions = pending.get(step) ?? [];
      pending.delete(step);
      for (const action of actions) action();
    },
  };
}

function createFakeLimiter() {
  let isUnavailable = false;
  return {
    makeUnavailable: () => {
      isUnavailable = true;
    },
    limiter: {
      spend: async () =>
        isUnavailable
          ? failure({ kind: 'limit-unavailable' as const, retryAfterMilliseconds: 100 })
          : success(undefined),
    },
  };
}

/**
 * @param options - Options of the cell.
 * @returns The running nodes; the first call goes to the first serving node.
 */
export async function startCallFixture(options: CallFixtureOptions): Promise<CallFixture> {
  const { firstByteMilliseconds = 8_000, repeatable, upstream } = options;
  const { onceAtStep, reportStep } = createStepHooks();
  const { limiter, makeUnavailable } = createFakeLimiter();
  const proxies: FaultProxy[] = [];
  const upstreamHeaders: string[] = [];
  const observed: Partial<UpstreamOptions> = {
    slots: 4,
    ...upstream,
    observe: (request) => {
      upstreamHeaders.push(...request.rawHeaders);
      reportStep('start');
    },
  };
  const route = { service: 'statements' as ServiceId, repeatable, retryBudget: RETRY_BUDGET };
  const limits: HttpLimits = { ...defaultHttpLimits, bodyIdleMilliseconds: firstByteMilliseconds };
  const cluster = await startTestCluster({
    manifest: createTestManifest([route], {}, firstByteMilliseconds),
    upstreams: [undefined, observed, observed],
    node: {
      limits,
      limiter,
      onStep: (step) => reportStep(step),
      peerAddress: async (actual) => {
        const proxy = createFaultProxy(actual);
        proxies.push(proxy);
        return proxy.listen();
      },
    },
  });
  const close = async (): Promise<void> => {
    proxies.forEach((proxy) => proxy.close());
    await cluster.close();
  };
  return {
    cluster,
    proxies,
    onceAtStep,
    reportStep,
    makeLimiterUnavailable: makeUnavailable,
    upstreamHeaders,
    close,
  };
}
