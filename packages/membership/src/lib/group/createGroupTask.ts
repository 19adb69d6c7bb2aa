import type { MemberRecord } from '../member/MemberRecord';
import { membershipCounts } from '../node/membershipCounts';
import { membershipTimes } from '../node/membershipTimes';
import { runPeriodically } from '../node/runPeriodically';
import { sampleItems } from '../node/sampleItems';
import { excludeUnknownDeparted } from '../table/excludeUnknownDeparted';
import { pullRoster } from '../table/pullRoster';
import { removeDeparted } from '../table/removeDeparted';
import { createProbeSchedule } from './createProbeSchedule';
import type { GroupContext } from './GroupContext';
import { isProbeTarget } from './isProbeTarget';
import { probeDirectly } from './probeDirectly';
import { pushToGroup } from './pushToGroup';

/**
 * Creates the task of a service group. In each period it probes members. At longer intervals it looks for
 * unknown members, compares its table with that of another member (anti-entropy), and probes a dead member,
 * to detect that a network partition has healed.
 *
 * @param group - Dependencies of the group.
 * @param verify - Failure detection of one member.
 * @param findMembers - Asks zone contacts for members.
 * @returns A function that runs the task until the group's signal is aborted.
 * @internal
 */
export function createGroupTask(
  group: GroupContext,
  verify: (target: MemberRecord) => Promise<void>,
  findMembers: (limit: number) => Promise<readonly MemberRecord[]>,
): () => Promise<void> {
  const { clock, logger, random, self, signal, table } = group;
  const nextTargets = createProbeSchedule(self.current().host, random);
  let discoveredAt = -Infinity;
  const joinedAt = clock.monotonicMilliseconds();
  let comparedAt = joinedAt;
  let deadProbedAt = joinedAt;
  const selfHost = self.current().host;

  const others = (): readonly MemberRecord[] =>
    table.records().filter((record) => record.host !== selfHost && isProbeTarget(record));

  const compareWith = async (member: MemberRecord): Promise<void> => {
    const roster = await pullRoster(group, table, member.controlAddress, { wantsPushes: false });
    if (roster) group.apply(excludeUnknownDeparted(table, roster.records), 'roster');
  };

  const discover = async (): Promise<void> => {
    const wasIsolated = others().length === 0;
    const { recordsPerComparison, recordsPerLookup } = membershipCounts;
    const found = await findMembers(wasIsolated ? recordsPerLookup : recordsPerComparison);
    group.apply(found, wasIsolated ? 'roster' : 'gossip');
    const [member] = sampleItems(others(), 1, random);
    if (!member || !wasIsolated) return;
    await compareWith(member);
    await pushToGroup(group, self.current());
    logger.log('serviceJoined', { service: table.service, members: others().length + 1 });
  };

  const retryDead = async (): Promise<void> => {
    const dead = table.records().filter((record) => record.liveness === 'dead');
    const [member] = sampleItems(dead, 1, random);
    if (member && (await probeDirectly(group, member))) await compareWith(member);
  };

  /** Starts the steps that are due, without waiting for them, so that they don't delay the probes. */
  const startDueSteps = (): void => {
    const now = clock.monotonicMilliseconds();
    const { discoveryPeriod, isolatedDiscoveryPeriod } = membershipTimes;
    const period = others().length === 0 ? isolatedDiscoveryPeriod : discoveryPeriod;
    if (now - discoveredAt >= period) {
      discoveredAt = now;
      void discover();
    }
    const isJoining = now - joinedAt < membershipTimes.joiningDuration;
    const { antiEntropyPeriod, joiningAntiEntropyPeriod } = membershipTimes;
    if (now - comparedAt >= (isJoining ? joiningAntiEntropyPeriod : antiEntropyPeriod)) {
      comparedAt = now;
      const [member] = sampleItems(others(), 1, random);
      if (member) void compareWith(member);
      removeDeparted(group, table);
    }
    if (now - deadProbedAt >= membershipTimes.deadProbePeriod) {
      deadProbedAt = now;
      void retryDead();
    }
  };

  return () =>
    runPeriodically(clock, membershipTimes.probePeriod, signal, async () => {
      startDueSteps();
      await Promise.all(nextTargets(table.records()).map(verify));
    });
}
