import { mkdir, readFile, writeFile } from 'node:fs/promises';
import { setTimeout as sleep } from 'node:timers/promises';

import type { HostPlacement, NodeFleet } from '@buckthornslip/app-node';
import { startNodeFleet } from '@buckthornslip/app-node';
import type { AccountId } from '@buckthornslip/common';
import yargs from 'yargs';
import { hideBin } from 'yargs/helpers';

import { measureConvergence } from './measureConvergence';

/** Targets for the time until a change is in force on all nodes, in milliseconds. */
const MANIFEST_TARGET_MILLISECONDS = 6_000;
const WITHDRAWAL_TARGET_MILLISECONDS = 3_000;

const CHANGES_PER_CASE = 10;
const SETTLE_MILLISECONDS = 8_000;
const OUTAGE_MILLISECONDS = 4_000;
const COUNT_MILLISECONDS = 10_000;

const services = ['balances', 'statements', 'uploads', 'subsidies'];
const zones = [
  { region: 'riga', zone: 'riga-a' },
  { region: 'riga', zone: 'riga-b' },
  { region: 'daugavpils', zone: 'daugavpils-a' },
  { region: 'daugavpils', zone: 'daugavpils-b' },
];

interface Row {
  readonly nodes: number;
  readonly case: string;
  readonly targetMilliseconds: number;
  readonly medianMilliseconds: number;
  readonly worstMilliseconds: number;
}

function planPlacements(count: number): HostPlacement[] {
  return Array.from({ length: count }, (_, index) => ({
    service: services[index % services.length] ?? '',
    region: zones[Math.floor(index / services.length) % zones.length]?.region ?? '',
    zone: zones[Math.floor(index / services.length) % zones.length]?.zone ?? '',
  }));
}

function toRow(nodes: number, name: string, targetMilliseconds: number, times: number[]): Row {
  const sorted = [...times].sort((left, right) => left - right);
  return {
    nodes,
    case: name,
    targetMilliseconds,
    medianMilliseconds: Math.round(sorted[Math.floor(sorted.length / 2)] ?? NaN),
    worstMilliseconds: Math.round(sorted[sorted.length - 1] ?? NaN),
  };
}

async function measureRepeatedly(
  fleet: NodeFleet,
  change: (turn: number) => Promise<{ readonly kind: string }>,
) {
  const times: number[] = [];
  for (let turn = 0; turn < CHANGES_PER_CASE; turn += 1) {
    const { last } = await measureConvergence(fleet, () => change(turn));
    times.push(last);
  }
  return times;
}

/** @returns Time from the end of a store outage until a change published immediately is in force on all nodes. */
async function measureAfterOutage(fleet: NodeFleet, manifest: string): Promise<number> {
  fleet.store.faults.setDown(true);
  await sleep(OUTAGE_MILLISECONDS);
  fleet.store.faults.setDown(false);
  const publish = async () => {
    const changed = `${manifest}\n# after the outage\n`.replace(
      /release = ".*"/,
      'release = "outage"',
    );
    for (;;) {
      const result = await fleet.publisher.publishManifest(changed);
      if (result.kind === 'published') return result;
      await sleep(100);
    }
  };
  return (await measureConvergence(fleet, publish)).last;
}

async function countStoreCalls(fleet: NodeFleet): Promise<Record<string, number>> {
  const before = { ...fleet.store.calls };
  await sleep(COUNT_MILLISECONDS);
  const after = { ...fleet.store.calls };
  const seconds = COUNT_MILLISECONDS / 1_000;
  return Object.fromEntries(
    Object.entries(after).map(([kind, count]) => [
      kind,
      (count - (before[kind as keyof typeof before] ?? 0)) / seconds,
    ]),
  );
}

async function measureSize(nodes: number, manifest: string, rows: Row[]) {
  const fleet = await startNodeFleet(planPlacements(nodes));
  try {
    await fleet.publisher.publishManifest(manifest);
    await sleep(SETTLE_MILLISECONDS);
    const release = (turn: number) =>
      manifest.replace(/release = ".*"/, `release = "change ${turn}"`);
    const published = await measureRepeatedly(fleet, (turn) =>
      fleet.publisher.publishManifest(release(turn)),
    );
    rows.push(toRow(nodes, 'manifest', MANIFEST_TARGET_MILLISECONDS, published));
    const keyIds: Awaited<ReturnType<NodeFleet['publisher']['grantKey']>>['keyId'][] = [];
    await measureRepeatedly(fleet, async () => {
      const { keyId, result } = await fleet.publisher.grantKey('riga-city' as AccountId);
      keyIds.push(keyId);
      return result;
    });
    const withdraw = (turn: number) =>
      fleet.publisher.withdrawKey(keyIds[turn] ?? (keyIds[0] as (typeof keyIds)[0]));
    const withdrawn = await measureRepeatedly(fleet, withdraw);
    rows.push(toRow(nodes, 'withdrawal', WITHDRAWAL_TARGET_MILLISECONDS, withdrawn));
    fleet.store.faults.setSlow(10);
    const slow = await measureRepeatedly(fleet, (turn) =>
      fleet.publisher.publishManifest(release(turn + CHANGES_PER_CASE)),
    );
    rows.push(toRow(nodes, 'manifest, store 10 ms', MANIFEST_TARGET_MILLISECONDS, slow));
    fleet.store.faults.setSlow(0);
    const calls = await countStoreCalls(fleet);
    const outage = await measureAfterOutage(fleet, manifest);
    rows.push(toRow(nodes, 'after 4 s outage', MANIFEST_TARGET_MILLISECONDS, [outage]));
    return { nodes, callsPerSecond: calls };
  } finally {
    await fleet.close();
  }
}

const options = await yargs(hideBin(process.argv))
  .option('sizes', { type: 'number', array: true, default: [8, 16, 32, 64] })
  .parseAsync();
const manifest = await readFile('examples/auklu/manifest.toml', 'utf8');
const rows: Row[] = [];
const storeCalls = [];
for (const size of options.sizes) {
  storeCalls.push(await measureSize(size, manifest, rows));
}
console.table(rows);
console.table(storeCalls.map(({ nodes, callsPerSecond }) => ({ nodes, ...callsPerSecond })));
await mkdir('bench/results', { recursive: true });
await writeFile(
  'bench/results/convergence.json',
  `${JSON.stringify({ rows, storeCalls }, undefined, 2)}\n`,
);
// Idle connections of the closed fleets would keep the process alive for some time.
// eslint-disable-next-line n/no-process-exit
process.exit(0);
