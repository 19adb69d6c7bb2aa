import type { KeyId } from '@buckthornslip/common';
import type { ConfigurationSnapshot } from '@buckthornslip/distribution';
import fc from 'fast-check';
import t from 'tap';

import { testManifest } from './testing/testManifest';
import { partDigest } from './revision/partDigest';
import { decodeHead } from './revision/decodeHead';
import type { PublicationAttempt, Simulation, Step } from './testing/createSimulation';
import { createSimulation, FRESHNESS_LIMIT_MILLISECONDS } from './testing/createSimulation';

function digestOf(release: string): string {
  return partDigest(Buffer.from(testManifest(release)));
}

const RUNS = Number(process.env.PROPERTY_RUNS ?? 1_000);
const SEED = Number(process.env.PROPERTY_SEED ?? 20_261_204);

const stepArbitrary: fc.Arbitrary<Step> = fc.record({
  action: fc.oneof(
    { weight: 8, arbitrary: fc.constant<Step['action']>('deliver') },
    { weight: 2, arbitrary: fc.constantFrom<Step['action']>('poll-store', 'poll-peers') },
    { weight: 2, arbitrary: fc.constantFrom<Step['action']>('grant', 'withdraw', 'manifest') },
    { weight: 1, arbitrary: fc.constantFrom<Step['action']>('announce', 'install', 'restart') },
  ),
  a: fc.nat({ max: 20 }),
  b: fc.nat({ max: 20 }),
});

/** Fails if a host, across restarts, goes back to a lower revision or accepts a withdrawn key again. */
function createNoRevertCheck() {
  const highest = new Map<number, number>();
  const withdrawn = new Map<number, Set<string>>();
  const publications = new Map<number, ConfigurationSnapshot>();

  const checkKeys = (index: number, { keys }: ConfigurationSnapshot): void => {
    const known = withdrawn.get(index) ?? new Set();
    withdrawn.set(index, known);
    for (const { id, state } of keys.values()) {
      if (state === 'withdrawn') known.add(id);
      else if (known.has(id)) throw new Error(`host ${index}: withdrawn key ${id} is valid again`);
    }
  };

  return (index: number, snapshot: ConfigurationSnapshot | undefined): void => {
    if (snapshot === undefined) return;
    const { revision, manifest } = snapshot;
    const before = highest.get(index) ?? 0;
    if (revision < before) throw new Error(`host ${index}: revision ${before} became ${revision}`);
    highest.set(index, revision);
    checkKeys(index, snapshot);
    const other = publications.get(revision);
    publications.set(revision, snapshot);
    const isSame = other === undefined || other.manifest.release === manifest.release;
    if (!isSame) throw new Error(`revision ${revision} has two different contents`);
  };
}

/** Fails if a node reports itself fresh although a contact had a newer revision longer ago than the freshness limit. */
function createFreshnessCheck(simulation: Simulation): () => void {
  const history: { readonly time: number; readonly revision: number }[] = [];
  return () => {
    const revisions = simulation.nodes.map((node) => node.current()?.revision ?? 0);
    const time = simulation.now();
    const old = history.filter((entry) => time - entry.time > FRESHNESS_LIMIT_MILLISECONDS);
    const expected = Math.max(0, ...old.map(({ revision }) => revision));
    simulation.nodes.forEach((node, index) => {
      const revision = revisions[index] ?? 0;
      const isOutdated = node.isFresh() && revision < expected;
      if (isOutdated)
        throw new Error(
          `host ${index}: revision ${revision} is reported fresh, but ${expected} was in force at a contact`,
        );
    });
    history.push({ time, revision: Math.max(...revisions.slice(0, 2)) });
  };
}

/** Compares the reported result of a publication with the final content of the store. */
function checkAttempt(
  attempt: PublicationAttempt,
  final: ConfigurationSnapshot,
  manifestDigests: Set<string>,
): void {
  const { release, granted, withdrawn } = attempt;
  const result = attempt.result();
  if (result === undefined) throw new Error('a publication did not complete');
  const stateOf = (id: KeyId | undefined): string | undefined =>
    [...final.keys.values()].find((key) => key.id === id)?.state;
  let isAccepted = stateOf(granted) !== undefined;
  if (release !== undefined) isAccepted = manifestDigests.has(digestOf(release));
  if (withdrawn !== undefined) isAccepted = stateOf(withdrawn) === 'withdrawn';
  const isReportedPublished = result.kind === 'published';
  // A withdrawal is excluded: another publisher may have withdrawn the same key.
  const isReportedRejected =
    !isReportedPublished && result.kind !== 'unknown' && withdrawn === undefined;
  if (isReportedPublished && !isAccepted)
    throw new Error('reported as published, but not in the store');
  if (isReportedRejected && isAccepted)
    throw new Error(`reported as ${result.kind}, but in the store`);
}

function checkFinalState(simulation: Simulation): void {
  const heads = simulation.store.heads.map((bytes) => decodeHead(bytes));
  const manifestDigests = new Set(heads.map((head) => (head.ok ? head.value.manifest.digest : '')));
  const final = simulation.nodes[0]?.current();
  if (final === undefined) throw new Error('no revision in force after all faults ended');
  simulation.nodes.forEach((node, index) => {
    const revision = node.current()?.revision;
    // Each revision is one write of the head, so the number of writes is the current revision.
    if (revision !== heads.length)
      throw new Error(`host ${index} has revision ${revision} in force instead of the latest`);
    if (!node.isFresh()) throw new Error(`host ${index} is not fresh after all faults ended`);
  });
  simulation.attempts.forEach((attempt) => checkAttempt(attempt, final, manifestDigests));
}

async function run(steps: readonly Step[]): Promise<void> {
  const simulation = await createSimulation();
  const check = createNoRevertCheck();
  const checkFreshness = createFreshnessCheck(simulation);
  const checkAll = (): void => {
    simulation.nodes.forEach((node, index) => check(index, node.current()));
    checkFreshness();
  };
  for (const step of steps) {
    await simulation.runStep(step);
    checkAll();
  }
  await simulation.endFaults();
  checkAll();
  checkFinalState(simulation);
}

void t.test(
  'no order of messages, message losses and restarts reverts a revision or a withdrawal',
  async (test) => {
    await fc.assert(
      fc.asyncProperty(fc.array(stepArbitrary, { minLength: 60, maxLength: 160 }), run),
      {
        numRuns: RUNS,
        seed: SEED,
        // Shrinking takes longer than the timeout of a test file. A failure is replayed with the path in the report.
        endOnFailure: true,
      },
    );
    test.pass(`${RUNS} runs`);
  },
);
