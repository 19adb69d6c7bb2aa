import type {
  Claim,
  HeldIdempotencyLease,
  IdempotencyReplica,
  IdempotencyRegistry,
  ReplicaMessage,
} from '@buckthornslip/calls';
import { createIdempotencyRegistry, idempotencyPartition, scopeKey } from '@buckthornslip/calls';
import type {
  AccountId,
  AttemptId,
  HostId,
  Incarnation,
  PartitionId,
  RandomSource,
  ServiceId,
} from '@buckthornslip/common';
import {
  createFakeClock,
  createSeededRandom,
  createUuid,
  failure,
  isSameNode,
  success,
} from '@buckthornslip/common';
import fc from 'fast-check';
import t from 'tap';

const service = 'subsidies' as ServiceId;
const partition: PartitionId = idempotencyPartition(service);

interface TestNode {
  readonly replica: IdempotencyReplica;
  readonly registry: IdempotencyRegistry;
  /** The lease as this node sees it; a paused or partitioned node keeps an outdated view. */
  localLease: HeldIdempotencyLease | undefined;
  /** The candidates as the node knows them from its own writes; outdated after a lost response. */
  knownCandidates: IdempotencyReplica[];
  fencedEpoch: number;
}

interface LeaseState {
  epoch: number;
  holder: IdempotencyReplica | undefined;
  candidates: IdempotencyReplica[];
}

/** Nodes that share one lease record. The test controls all lease changes, failures and message loss. */
function createModel(random: RandomSource, lossRate: number) {
  const clock = createFakeClock();
  const record: LeaseState = { epoch: 0, holder: undefined, candidates: [] };
  const nodes = new Map<string, TestNode>();
  const cut = new Set<string>();
  let storeDown = false;
  const isLost = (): boolean => random.next() < lossRate;
  const keyOf = (replica: IdempotencyReplica): string => `${replica.host}/${replica.incarnation}`;

  const heldLeaseOf = (node: TestNode, startedWithoutState: boolean): HeldIdempotencyLease => ({
    epoch: record.epoch,
    get candidates() {
      return [...node.knownCandidates];
    },
    startedWithoutState,
    takenAtWallMilliseconds: clock.wallMilliseconds(),
    remainingMilliseconds: () => 1_000,
  });

  const start = (host: string, incarnation: number): TestNode => {
    const replica = {
      host: host as HostId,
      incarnation: incarnation as Incarnation,
      controlAddress: host,
    };
    const registry = createIdempotencyRegistry({
      clock,
      partition,
      leases: {
        heldLease: () => nodes.get(keyOf(replica))?.localLease,
        fencedEpoch: () => nodes.get(keyOf(replica))?.fencedEpoch ?? 0,
        removeCandidate: async (_partition, candidate) => {
          const isHolder = record.holder && isSameNode(record.holder, replica);
          const isCurrent = nodes.get(keyOf(replica))?.localLease?.epoch === record.epoch;
          if (storeDown || !isHolder || !isCurrent) return failure({ kind: 'store-unavailable' });
          record.candidates = record.candidates.filter((each) => !isSameNode(each, candidate));
          if (isLost()) return failure({ kind: 'store-unavailable' });
          const node = nodes.get(keyOf(replica));
          if (node) node.knownCandidates = [...record.candidates];
          return success(undefined);
        },
      },
      peers: {
        claim: async () => undefined,
        release: async () => undefined,
        replicate: async (to, message: ReplicaMessage) => {
          const target = nodes.get(keyOf(to));
          if (!target || isLost() || cut.has(keyOf(to)) || cut.has(keyOf(replica)))
            return undefined;
          const accepted = target.registry.acceptReplica(message);
          return isLost() ? undefined : accepted;
        },
      },
    });
    const node: TestNode = {
      replica,
      registry,
      localLease: undefined,
      knownCandidates: [],
      fencedEpoch: 0,
    };
    nodes.set(keyOf(replica), node);
    return node;
  };

  const takeOver = (node: TestNode, withoutState: boolean): void => {
    record.epoch += 1;
    const old = record.candidates.filter((each) => !isSameNode(each, node.replica));
    record.candidates = withoutState ? [] : old;
    record.holder = node.replica;
    const knownCandidates = [...record.candidates];
    Object.assign(node, { fencedEpoch: record.epoch, knownCandidates });
    Object.assign(node, { localLease: heldLeaseOf(node, withoutState) });
  };

  const addCandidate = async (candidate: TestNode): Promise<void> => {
    const { holder } = record;
    const holderNode = holder && nodes.get(keyOf(holder));
    const isListed = record.candidates.some((each) => isSameNode(each, candidate.replica));
    if (!holderNode || holderNode === candidate || isListed || storeDown) return;
    if (holderNode.localLease?.epoch !== record.epoch) return;
    if (await holderNode.registry.prepareCandidate(candidate.replica)) {
      const isStillHolder = record.holder && isSameNode(record.holder, holderNode.replica);
      if (!isStillHolder || holderNode.localLease?.epoch !== record.epoch) return;
      record.candidates.push(candidate.replica);
      if (!isLost()) holderNode.knownCandidates.push(candidate.replica);
    }
  };

  return {
    clock,
    record,
    nodes,
    cut,
    start,
    takeOver,
    addCandidate,
    keyOf,
    setStoreDown: (down: boolean) => {
      storeDown = down;
    },
  };
}

function requestOf(key: string, attemptId: string, host: string) {
  return {
    service,
    scopedKey: scopeKey('family' as AccountId, key),
    requestDigest: 'digest',
    attemptId: attemptId as AttemptId,
    servingNode: { host: host as HostId, incarnation: 1 as Incarnation },
  };
}

const actionArbitrary = fc.constantFrom(
  'claim',
  'claim',
  'claim',
  'claim',
  'takeover',
  'takeoverWithoutState',
  'add',
  'restart',
  'cut',
  'heal',
  'store',
  'release',
);

/**
 * Runs random actions and returns the maximum number of different attempts that were granted for one key without a
 * release of the earlier ones. Superseded holders continue to assume that they hold the lease.
 */
async function runActions(
  seed: number,
  lossRate: number,
  actions: readonly string[],
): Promise<number> {
  const random = createSeededRandom(seed);
  const model = createModel(random, lossRate);
  const live = ['a', 'b', 'c', 'd'].map((host) => model.start(host, 1));
  const pick = (): TestNode => live[random.nextInteger(live.length)] as TestNode;
  const granted = new Map<string, Map<string, Claim>>();
  const released = new Set<string>();
  let incarnation = 1;
  let attempt = 0;
  let worst = 0;
  model.takeOver(live[0] as TestNode, false);
  // Keys without a creation time; UUIDv7 keys are added during the run.
  const keys = ['k0', 'k1', 'k2'];

  const handlers: Readonly<Record<string, () => Promise<void>>> = {
    claim: async () => {
      const isNewKey = random.next() < 0.2;
      if (isNewKey) keys.push(createUuid(model.clock));
      const key = keys[random.nextInteger(keys.length)] as string;
      // A claim can reach any node that assumes it is the holder, even one that was superseded long ago.
      const assumedHolders = live.filter((node) => node.localLease);
      const count = 1 + random.nextInteger(2);
      const asked = Array.from(
        { length: count },
        () => assumedHolders[random.nextInteger(assumedHolders.length)],
      );
      await Promise.all(
        asked.map(async (node) => {
          attempt += 1;
          const request = requestOf(key, `attempt${attempt}`, `x${attempt % 3}`);
          const answer = await node?.registry.claim(request);
          // A superseded holder may still return an attempt that has been released. Its serving node never runs it.
          if (answer?.kind !== 'bound' || released.has(answer.claim.attemptId)) return;
          const claims = granted.get(key) ?? new Map<string, Claim>();
          claims.set(answer.claim.attemptId, answer.claim);
          granted.set(key, claims);
          worst = Math.max(worst, claims.size);
        }),
      );
    },
    release: async () => {
      const [key, claims] = [...granted][random.nextInteger(Math.max(1, granted.size))] ?? [];
      const [attemptId] = claims?.keys() ?? [];
      const holder = live.find((node) => node.localLease?.epoch === model.record.epoch);
      if (!key || !attemptId || !claims || !holder) return;
      // Released attempts are proven never to run, so they no longer count for the key.
      await holder.registry.release(scopeKey('family' as AccountId, key), attemptId as AttemptId);
      claims.delete(attemptId);
      released.add(attemptId);
    },
    takeover: async () => {
      const candidates = live.filter((node) =>
        model.record.candidates.some((each) => isSameNode(each, node.replica)),
      );
      const successor = candidates[random.nextInteger(Math.max(1, candidates.length))];
      if (successor) model.takeOver(successor, false);
    },
    takeoverWithoutState: async () => {
      const isHolderAlive = live.some((node) => node.replica === model.record.holder);
      const hasCandidate = live.some((node) =>
        model.record.candidates.some((each) => isSameNode(each, node.replica)),
      );
      // A node that is not a candidate may take over only once the holder and all candidates are gone.
      if (!isHolderAlive && !hasCandidate) model.takeOver(pick(), true);
    },
    add: async () => model.addCandidate(pick()),
    restart: async () => {
      const index = random.nextInteger(live.length);
      const old = live[index] as TestNode;
      model.nodes.delete(model.keyOf(old.replica));
      incarnation += 1;
      live[index] = model.start(old.replica.host, incarnation);
    },
    cut: async () => {
      model.cut.add(model.keyOf(pick().replica));
    },
    heal: async () => {
      model.cut.clear();
      model.setStoreDown(false);
    },
    store: async () => model.setStoreDown(true),
  };

  for (const action of actions) {
    await handlers[action]?.();
    await model.clock.advance(1_000 * random.nextInteger(10));
  }
  return worst;
}

void t.test('no key is ever bound to two attempts, whichever nodes fail', async (test) => {
  await fc.assert(
    fc.asyncProperty(
      fc.integer(),
      fc.constantFrom(0, 0.1, 0.4),
      fc.array(actionArbitrary, { minLength: 5, maxLength: 60 }),
      async (seed, lossRate, actions) => (await runActions(seed, lossRate, actions)) <= 1,
    ),
    { seed: 21, numRuns: 2_000 },
  );
  test.pass('at most one attempt per key in every run');
});

void t.test('a candidate that takes over answers repeats with the first binding', async (test) => {
  const model = createModel(createSeededRandom(1), 0);
  const first = model.start('a', 1);
  const second = model.start('b', 1);
  model.takeOver(first, false);
  await model.addCandidate(second);
  const bound = await first.registry.claim(requestOf('k', 'attempt1', 'x'));
  test.match(bound, { kind: 'bound', claim: { existing: false } });
  model.takeOver(second, false);
  const repeated = await second.registry.claim(requestOf('k', 'attempt2', 'y'));
  test.match(repeated, { kind: 'bound', claim: { attemptId: 'attempt1', existing: true } });
});

void t.test('a holder that was paused past its lease grants no claims', async (test) => {
  const model = createModel(createSeededRandom(1), 0);
  const first = model.start('a', 1);
  const second = model.start('b', 1);
  model.takeOver(first, false);
  await model.addCandidate(second);
  model.takeOver(second, false);
  const answer = await first.registry.claim(requestOf('k', 'attempt1', 'x'));
  test.match(answer, { kind: 'home-unavailable' });
});

void t.test('after a loss of all bindings only later keys can be claimed', async (test) => {
  const model = createModel(createSeededRandom(1), 0);
  const node = model.start('a', 1);
  const oldKey = createUuid(model.clock);
  await model.clock.advance(60_000);
  model.takeOver(node, true);
  await model.clock.advance(6_000);
  const newKey = createUuid(model.clock);
  test.match(await node.registry.claim(requestOf(oldKey, 'a1', 'x')), {
    kind: 'outcome-unknown',
  });
  test.match(await node.registry.claim(requestOf('plain', 'a2', 'x')), {
    kind: 'outcome-unknown',
  });
  test.match(await node.registry.claim(requestOf(newKey, 'a3', 'x')), { kind: 'bound' });
});

void t.test('a different request with the same key is refused', async (test) => {
  const model = createModel(createSeededRandom(1), 0);
  const first = model.start('a', 1);
  model.takeOver(first, false);
  await first.registry.claim(requestOf('k', 'attempt1', 'x'));
  const other = { ...requestOf('k', 'attempt2', 'x'), requestDigest: 'other' };
  test.match(await first.registry.claim(other), { kind: 'idempotency-key-reused' });
});
