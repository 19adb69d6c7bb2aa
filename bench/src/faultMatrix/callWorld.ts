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

/** Retries that the routes of the matrix allow per root call. */
export const RETRY_BUDGET = 3;

/** An entry node and two serving nodes behind relays, with hooks at the steps of a call. */
export interface CallWorld {
  readonly system: TestCluster;
  /** Relays by node; the relay of the entry node carries nothing. */
  readonly relays: readonly FaultProxy[];
  /** Runs an action once, when the next call reaches the step. */
  readonly arm: (step: CallStep, action: () => void) => void;
  readonly reached: (step: CallStep) => void;
  /** Makes the limiter refuse as it does without a holder. */
  readonly loseLimiter: () => void;
  /** Headers that the upstreams received. */
  readonly seenHeaders: string[];
  readonly close: () => Promise<void>;
}

/** What differs between the worlds of the cells. */
export interface CallWorldOptions {
  readonly repeatable: boolean;
  readonly firstByteMilliseconds?: number;
  readonly upstream?: Partial<UpstreamOptions>;
}

function createSteps() {
  const armed = new Map<CallStep, (() => void)[]>();
  return {
    arm: (step: CallStep, action: () => void): void => {
      armed.set(step, [...(armed.get(step) ?? []), action]);
    },
    reached: (step: CallStep): void => {
      const actions = armed.get(step) ?? [];
      armed.delete(step);
      for (const action of actions) action();
    },
  };
}

function createLimiter() {
  let lost = false;
  return {
    lose: () => {
      lost = true;
    },
    limiter: {
      spend: async () =>
        lost
          ? failure({ kind: 'limit-unavailable' as const, retryAfterMilliseconds: 100 })
          : success(undefined),
    },
  };
}

/**
 * @param options - What differs between worlds.
 * @returns The running system, whose next call goes to the first serving node.
 */
export async function startCallWorld(options: CallWorldOptions): Promise<CallWorld> {
  const { firstByteMilliseconds = 8_000, repeatable, upstream } = options;
  const { arm, reached } = createSteps();
  const { limiter, lose } = createLimiter();
  const relays: FaultProxy[] = [];
  const seenHeaders: string[] = [];
  const observed: Partial<UpstreamOptions> = {
    slots: 4,
    ...upstream,
    observe: (request) => {
      seenHeaders.push(...request.rawHeaders);
      reached('start');
    },
  };
  const route = { service: 'statements' as ServiceId, repeatable, retryBudget: RETRY_BUDGET };
  const limits: HttpLimits = { ...defaultHttpLimits, bodyIdleMilliseconds: firstByteMilliseconds };
  const system = await startTestCluster({
    manifest: createTestManifest([route], {}, firstByteMilliseconds),
    upstreams: [undefined, observed, observed],
    node: {
      limits,
      limiter,
      onStep: (step) => reached(step),
      peerAddress: async (actual) => {
        const relay = createFaultProxy(actual);
        relays.push(relay);
        return relay.listen();
      },
    },
  });
  const close = async (): Promise<void> => {
    relays.forEach((relay) => relay.close());
    await system.close();
  };
  return { system, relays, arm, reached, loseLimiter: lose, seenHeaders, close };
}
