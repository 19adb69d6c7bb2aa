import type { Clock, RandomSource, RegionId } from '@buckthornslip/common';
import type { AccountDefinition } from '@buckthornslip/config';
import type { AccountGrouping } from '@buckthornslip/limits';

import { sampleExponential } from '../sampleExponential';
import type { AccountCounts } from './AccountCounts';
import { createLimitsSimulation } from './createLimitsSimulation';
import { createReferenceBucket } from './createReferenceBucket';
import { limitsAccounts } from './limitsAccounts';
import type { LimitsScenario } from './LimitsScenario';

const REGIONS = ['east', 'west'] as unknown as readonly RegionId[];

/** Warm-up time, after which the parts match the demand of the regions, in milliseconds. */
const WARM_MILLISECONDS = 60_000;

const DURATION_MILLISECONDS = 120_000;

/** Term of the partition leases, in milliseconds. */
const TERM_MILLISECONDS = 9_000;

type Spend = (account: AccountDefinition, slot: number) => Promise<boolean>;

/** Result of one run. */
export interface LimitsRun {
  readonly counts: readonly AccountCounts[];
  readonly messagesPerSecond: number;
  readonly measuredMilliseconds: number;
}

/** Creates the baseline: each node has a fixed, equal part of each account's rate and burst. */
function createEqualParts(clock: Clock, nodes: number): Spend {
  const buckets = new Map<string, ReturnType<typeof createReferenceBucket>>();
  return (account, slot) => {
    const key = `${account.id} ${slot}`;
    const bucket =
      buckets.get(key) ??
      createReferenceBucket(account.ratePerSecond / nodes, Math.max(1, account.burst / nodes));
    buckets.set(key, bucket);
    return Promise.resolve(bucket.spend(clock.monotonicMilliseconds()));
  };
}

/** Draws the node of a call: the region by its share of the demand, then a node, with lower slots drawn more often. */
function drawSlot(random: RandomSource, scenario: LimitsScenario): number {
  const perRegion = scenario.nodes / REGIONS.length;
  const offset = random.next() < scenario.firstRegionShare ? 0 : perRegion;
  return offset + Math.floor(random.next() ** 2 * perRegion);
}

function sendCalls(
  account: AccountDefinition,
  scenario: LimitsScenario,
  clock: Clock,
  random: RandomSource,
  spend: Spend,
): AccountCounts {
  const now = clock.monotonicMilliseconds;
  const counts: AccountCounts = {
    account: account.id,
    conforming: 0,
    conformingRefused: 0,
    admitted: 0,
    excess: 0,
    waitedMilliseconds: 0,
  };
  const arrivals = createReferenceBucket(account.ratePerSecond, account.burst);
  const admissions = createReferenceBucket(account.ratePerSecond, account.burst);
  const surge = account.id === limitsAccounts[0]?.id ? scenario.surge : 1;
  const ratePerSecond = account.ratePerSecond * scenario.demand * surge;

  const send = async (): Promise<void> => {
    const isMeasured = now() >= WARM_MILLISECONDS;
    const isConforming = arrivals.spend(now());
    // Accounts send only conforming calls, except the one that surges.
    if (!isConforming && surge === 1) return;
    const started = now();
    const isAdmitted = await spend(account, drawSlot(random, scenario));
    if (isAdmitted && !admissions.spend(now())) counts.excess += 1;
    if (!isMeasured) return;
    counts.waitedMilliseconds += now() - started;
    if (isAdmitted) counts.admitted += 1;
    if (isConforming) counts.conforming += 1;
    if (isConforming && !isAdmitted) counts.conformingRefused += 1;
  };

  const arrive = (): void => {
    if (now() >= DURATION_MILLISECONDS) return;
    void send();
    clock.setTimer(sampleExponential(random, 1_000 / ratePerSecond), arrive);
  };
  clock.setTimer(sampleExponential(random, 1_000 / ratePerSecond), arrive);
  return counts;
}

/** Runs a scenario with the account limits, or with the baseline of fixed, equal parts. */
export async function runLimitsScenario(
  scenario: LimitsScenario,
  grouping: AccountGrouping,
  isBaseline: boolean,
): Promise<LimitsRun> {
  const simulation = createLimitsSimulation({
    seed: scenario.seed,
    grouping,
    accounts: new Map(limitsAccounts.map((account) => [account.id, account])),
    regions: REGIONS,
    nodesPerRegion: scenario.nodes / REGIONS.length,
    termMilliseconds: TERM_MILLISECONDS,
  });
  const { clock, random, network } = simulation;
  const spendByLimiter: Spend = async (account, slot) => {
    const result = await simulation.nodes[slot]?.limiter.spend(account.id);
    return result?.ok === true;
  };
  const spend = isBaseline ? createEqualParts(clock, scenario.nodes) : spendByLimiter;
  const counts = limitsAccounts.map((account) =>
    sendCalls(account, scenario, clock, random, spend),
  );
  const { fault } = scenario;
  if (fault && !isBaseline) clock.setTimer(fault.atMilliseconds, () => fault.apply(simulation));
  await clock.advance(WARM_MILLISECONDS);
  const messagesBefore = network.messages();
  await clock.advance(DURATION_MILLISECONDS + 2_000 - WARM_MILLISECONDS);
  const measuredMilliseconds = DURATION_MILLISECONDS - WARM_MILLISECONDS;
  const messages = isBaseline ? 0 : network.messages() - messagesBefore;
  return {
    counts,
    messagesPerSecond: (messages * 1_000) / measuredMilliseconds,
    measuredMilliseconds,
  };
}
