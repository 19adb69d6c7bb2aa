import type { HostId, ServiceId } from '@buckthornslip/common';

import { decodeRecord } from '../member/decodeRecord';
import type { MemberRecord } from '../member/MemberRecord';
import { membershipCounts } from '../node/membershipCounts';
import { membershipTimes } from '../node/membershipTimes';
import type { NodeContext } from '../node/NodeContext';
import { pushRecords } from '../node/pushRecords';
import { runPeriodically } from '../node/runPeriodically';
import { createMemberTable } from '../table/createMemberTable';
import { excludeUnknownDeparted } from '../table/excludeUnknownDeparted';
import type { PulledRoster, RosterPosition } from '../table/pullRoster';
import { pullRoster } from '../table/pullRoster';
import { removeDeparted } from '../table/removeDeparted';
import { chooseSource } from './chooseSource';
import type { Subscription } from './Subscription';

/** Number of members to pull from in one period before asking the zone contacts again. */
const ATTEMPTS_PER_PERIOD = 2;

/** Members that joined more recently than this may be missing from another member's roster, in milliseconds. */
const JOINING_MILLISECONDS = 10_000;

/** Minimum time between two reports that calls to a host fail, in milliseconds. */
const SUSPECT_REPORT_INTERVAL_MILLISECONDS = 3_000;

/**
 * Creates the subscription to a service.
 *
 * @param context - Dependencies of the node.
 * @param service - The service.
 * @param findMembers - Asks zone contacts for members of a service.
 * @returns The subscription; `run` starts its task.
 * @internal
 */
export function createSubscription(
  context: NodeContext,
  service: ServiceId,
  findMembers: (service: ServiceId, limit: number) => Promise<readonly MemberRecord[]>,
): Subscription {
  const { clock, random, self, signal } = context;
  const table = createMemberTable(service, clock);
  const failed = new Set<HostId>();
  const reportedAt = new Map<HostId, number>();
  let source: { readonly host: HostId; readonly position: RosterPosition } | undefined;

  const sourceRecord = (): MemberRecord | undefined => {
    const current = source && table.get(source.host);
    const isUsable = current && chooseSource(self.current(), [current], failed, random);
    return isUsable ?? chooseSource(self.current(), table.records(), failed, random);
  };

  const removeMissing = (roster: readonly MemberRecord[]): void => {
    const hosts = new Set(roster.map(({ host }) => host));
    const oldest = clock.monotonicMilliseconds() - JOINING_MILLISECONDS;
    table.remove((record, changedAt) => !hosts.has(record.host) && changedAt < oldest);
  };

  const mergeRoster = (host: HostId, roster: PulledRoster): void => {
    source = { host, position: roster.position };
    table.merge(excludeUnknownDeparted(table, roster.records));
    removeDeparted(context, table);
    if (roster.isFull) removeMissing(roster.records);
  };

  const pullOnce = async (): Promise<boolean> => {
    const record = sourceRecord();
    if (!record) return false;
    const position = source?.host === record.host ? source.position : undefined;
    const { controlAddress } = record;
    const roster = await pullRoster(context, table, controlAddress, {
      position,
      wantsPushes: true,
    });
    if (roster) mergeRoster(record.host, roster);
    else failed.add(record.host);
    return roster !== undefined;
  };

  const refreshMembers = async (): Promise<void> => {
    failed.clear();
    table.merge(await findMembers(service, membershipCounts.recordsPerLookup));
  };

  const step = async (): Promise<void> => {
    for (let attempt = 0; attempt < ATTEMPTS_PER_PERIOD; attempt += 1) {
      if (await pullOnce()) return;
    }
    await refreshMembers();
    await pullOnce();
  };

  const reportSuspect = (host: HostId): void => {
    const now = clock.monotonicMilliseconds();
    const record = table.get(host);
    const isRecent =
      now - (reportedAt.get(host) ?? -Infinity) < SUSPECT_REPORT_INTERVAL_MILLISECONDS;
    if (!record || record.liveness === 'dead' || isRecent) return;
    reportedAt.set(host, now);
    const others = table.records().filter((other) => other.host !== host);
    const receiver = chooseSource(self.current(), others, failed, random);
    if (!receiver) return;
    const suspicion: MemberRecord = { ...record, liveness: 'suspect' };
    void pushRecords(context, receiver.controlAddress, service, [suspicion]);
  };

  return {
    table,
    answerPush: (request) => {
      table.merge(request.updates.map(decodeRecord));
      return { updates: [] };
    },
    reportSuspect,
    run: () => runPeriodically(clock, membershipTimes.pullPeriod, signal, step),
  };
}
