import type { RandomSource, RegionId } from '@buckthornslip/common';
import type { AccountDefinition } from '@buckthornslip/config';
import { limitsPartition } from '@buckthornslip/limits';
import type { AccountGrouping, GrantReport, GrantResponse } from '@buckthornslip/limits';

import type { SimulatedNode } from './createLimitsSimulation';

/** Maximum time between two requests, in milliseconds. */
const LONGEST_INTERVAL_MILLISECONDS = 200;

const RESPONSE_TIMEOUT_MILLISECONDS = 150;

interface HeldGrant {
  readonly epoch: number;
  readonly sequence: number;
  readonly tokens: number;
  readonly expiresMilliseconds: number;
  spent: number;
  closed: boolean;
}

/**
 * Runs an entry node that exhausts what the protocol allows: it requests up to a whole burst and spends many of the
 * tokens in the last moment of a grant's lifetime. The real entry node is more conservative, which could hide faults of
 * the token servers.
 */
export async function runGreedyEntryNode(options: {
  readonly node: SimulatedNode;
  readonly random: RandomSource;
  readonly grouping: AccountGrouping;
  readonly account: AccountDefinition;
  /** @returns Probability that a request reports demand, which determines to which region parts move. */
  readonly demandShare: () => number;
  readonly onSpend: () => void;
}): Promise<void> {
  const { node, random, grouping, account, onSpend } = options;
  const { clock } = node.process;
  const now = clock.monotonicMilliseconds;
  let region = node.process.region as RegionId;
  let grants: HeldGrant[] = [];

  const spend = (sequence: number, epoch: number): void => {
    const grant = grants.find((known) => known.sequence === sequence && known.epoch === epoch);
    if (!grant || grant.closed || now() >= grant.expiresMilliseconds) return;
    const count = random.next() < 0.7 ? grant.tokens : random.nextInteger(grant.tokens + 1);
    for (; grant.spent < count; grant.spent += 1) onSpend();
    grant.closed = random.next() < 0.5;
  };

  const receive = (
    response: Extract<GrantResponse, { kind: 'granted' }>,
    sentMilliseconds: number,
  ): void => {
    const expiresMilliseconds = sentMilliseconds + response.lifeMilliseconds;
    const grant = { ...response, expiresMilliseconds, spent: 0, closed: false };
    grants.push(grant);
    const left = expiresMilliseconds - now();
    clock.setTimer(random.next() < 0.6 ? left - 0.1 : random.next() * left, () =>
      spend(response.sequence, response.epoch),
    );
  };

  const reports = (): readonly GrantReport[] =>
    grants.map(({ epoch, sequence, spent, closed }) => ({ epoch, sequence, spent, closed }));

  const ask = async (): Promise<void> => {
    const partition = limitsPartition(region, grouping.groupOf(account.id));
    const location = await node.leases.locate(partition);
    if (!location.ok) return;
    grants = grants.filter((grant) => grant.expiresMilliseconds > now());
    const sentMilliseconds = now();
    const needed = 1 + random.nextInteger(account.burst);
    const demand = random.next() < options.demandShare() ? account.burst : 0;
    const result = await node.peers.grantTokens(
      location.value.controlAddress,
      {
        partition,
        account: account.id,
        region: node.process.region as RegionId,
        needed,
        ahead: 0,
        demand,
        reports: reports(),
      },
      RESPONSE_TIMEOUT_MILLISECONDS,
    );
    const response = result.ok ? result.value : undefined;
    if (response?.kind === 'granted') receive(response, sentMilliseconds);
    else if (response?.kind === 'other-region') region = response.region;
    else if (response?.kind !== 'empty') node.leases.forgetLocation(partition);
  };

  while (!node.process.isCrashed()) {
    await ask();
    await clock.sleep(random.next() * LONGEST_INTERVAL_MILLISECONDS);
  }
}
