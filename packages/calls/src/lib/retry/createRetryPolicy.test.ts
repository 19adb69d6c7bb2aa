import type { CallContext, RetryPolicy } from '@buckthornslip/calls';
import { createRetryBudgets, createRetryPolicy } from '@buckthornslip/calls';
import type { CallId, HostId, Incarnation, RootCallId, ServiceId } from '@buckthornslip/common';
import { createFakeClock, createSeededRandom } from '@buckthornslip/common';
import fc from 'fast-check';
import t from 'tap';

const service = 'statements' as ServiceId;
const rootNode = { host: 'root' as HostId, incarnation: 1 as Incarnation };
const otherNode = { host: 'other' as HostId, incarnation: 1 as Incarnation };

/** A root node and another node, connected by a link that loses requests and responses. */
function createPair(seed: number, lossRate: number) {
  const clock = createFakeClock();
  const random = createSeededRandom(seed);
  const rootBudgets = createRetryBudgets();
  const peers = {
    spendRetry: async (_address: string, rootCallId: RootCallId) => {
      if (random.next() < lossRate) return undefined;
      const granted = rootBudgets.spend(rootCallId);
      return random.next() < lossRate ? undefined : granted;
    },
  };
  const common = { clock, random, peers };
  return {
    clock,
    root: createRetryPolicy({ ...common, self: rootNode, budgets: rootBudgets }),
    other: createRetryPolicy({ ...common, self: otherNode, budgets: createRetryBudgets() }),
  };
}

function contextOf(callId: string, deadlineWallMilliseconds: number): CallContext {
  return {
    rootCallId: 'r' as RootCallId,
    rootNode,
    rootControlAddress: '127.0.0.1:1',
    callId: callId as CallId,
    account: undefined,
    priority: 'normal',
    depth: 0,
    deadlineWallMilliseconds,
  };
}

const request = {
  service,
  outcome: 'not-run',
  repeatable: true,
  bodyAvailable: true,
  attempts: 1,
  suspected: false,
} as const;

void t.test(
  'attempts in a call tree never exceed first attempts plus the root budget',
  async (test) => {
    const treeArbitrary = fc.record({
      budget: fc.integer({ min: 0, max: 5 }),
      seed: fc.integer(),
      lossRate: fc.constantFrom(0, 0.1, 0.5),
      failureRate: fc.constantFrom(0.2, 0.7, 1),
      repeatRate: fc.constantFrom(0, 0.3),
      depth: fc.integer({ min: 1, max: 12 }),
      fanOut: fc.integer({ min: 1, max: 3 }),
    });
    await fc.assert(
      fc.asyncProperty(treeArbitrary, async (tree) => {
        const { clock, root, other } = createPair(tree.seed, tree.lossRate);
        const random = createSeededRandom(tree.seed + 1);
        const deadline = clock.wallMilliseconds() + 60_000;
        const counts = { distinctCalls: 0, attempts: 0 };
        root.openRoot('r' as RootCallId, tree.budget);
        const visit = async (depth: number, name: string): Promise<void> => {
          const policy: RetryPolicy = depth % 2 === 0 ? root : other;
          const context = contextOf(name, deadline);
          for (let warmUp = 0; warmUp < 50; warmUp += 1) policy.countFirstAttempt(service);
          for (let attempts = 1; ; attempts += 1) {
            counts.attempts += 1;
            if (random.next() >= tree.failureRate) break;
            const decision = await policy.decide({ ...request, context, attempts });
            if (!decision.retry) break;
          }
          if (depth >= tree.depth || counts.distinctCalls > 40) return;
          for (let child = 0; child < tree.fanOut; child += 1) {
            const childName = `${name}/${child}`;
            const times = random.next() < tree.repeatRate ? 3 : 1;
            for (let time = 0; time < times; time += 1) {
              const isAllowed = await policy.chargeRepeat(context, childName);
              if (time === 0) counts.distinctCalls += 1;
              // A repeat that is allowed is another attempt of the same call.
              if (isAllowed && time > 0) counts.attempts += 1;
              if (isAllowed && time === 0) await visit(depth + 1, childName);
            }
          }
        };
        counts.distinctCalls = 1;
        await visit(0, 'root');
        return counts.attempts <= counts.distinctCalls + tree.budget;
      }),
      { seed: 4, numRuns: 1_000 },
    );
    test.pass('the bound held in every run');
  },
);

void t.test(
  'retries that are unsafe or too late for the deadline are denied with their reason',
  async (test) => {
    const { clock, root } = createPair(1, 0);
    const context = contextOf('c', clock.wallMilliseconds() + 1_000);
    root.openRoot('r' as RootCallId, 10);
    const cases = [
      [{ outcome: 'may-have-run', repeatable: false }, 'denied-not-repeatable'],
      [{ suspected: true }, 'denied-suspect'],
      [{ bodyAvailable: false }, 'denied-body-consumed'],
      [{ context: contextOf('c', clock.wallMilliseconds() + 1) }, 'denied-deadline'],
    ] as const;
    for (const [change, reason] of cases) {
      test.match(await root.decide({ ...request, context, ...change }), { retry: false, reason });
    }
  },
);

void t.test('retries to one service are a tenth of its first attempts', async (test) => {
  const { clock, root } = createPair(1, 0);
  root.openRoot('r' as RootCallId, 1_000_000);
  let retries = 0;
  for (let call = 0; call < 1_000; call += 1) {
    root.countFirstAttempt(service);
    const context = contextOf('c', clock.wallMilliseconds() + 60_000);
    if ((await root.decide({ ...request, context })).retry) retries += 1;
  }
  test.ok(retries >= 95 && retries <= 105, `${retries} retries for 1,000 first attempts`);
});

void t.test('a root call that has ended grants no retries', async (test) => {
  const { clock, root, other } = createPair(1, 0);
  root.openRoot('r' as RootCallId, 3);
  root.closeRoot('r' as RootCallId);
  const context = contextOf('c', clock.wallMilliseconds() + 60_000);
  test.match(await other.decide({ ...request, context }), { reason: 'denied-root-budget' });
});
