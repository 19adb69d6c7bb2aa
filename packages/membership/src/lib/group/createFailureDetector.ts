import type { HostId } from '@buckthornslip/common';

import { compareRecords } from '../member/compareRecords';
import { decodeRecord } from '../member/decodeRecord';
import type { MemberRecord } from '../member/MemberRecord';
import { membershipTimes } from '../node/membershipTimes';
import { pushRecords } from '../node/pushRecords';
import type { GroupContext } from './GroupContext';
import { isProbeTarget } from './isProbeTarget';
import { probeDirectly } from './probeDirectly';
import { probeIndirectly } from './probeIndirectly';
import { pushToGroup } from './pushToGroup';

/**
 * Creates the failure detector of single members, as in SWIM: a direct probe, indirect probes, a suspicion
 * with more probes, and the declaration that the member is dead. At most one check per member runs at a time.
 *
 * @param group - Dependencies of the group.
 * @returns A function that checks a member, and resolves after its direct and indirect probes.
 * @internal
 */
export function createFailureDetector(
  group: GroupContext,
): (target: MemberRecord) => Promise<void> {
  const { clock, logger, signal, table } = group;
  const inProgress = new Set<HostId>();

  const isUnchanged = (suspicion: MemberRecord): boolean => {
    const record = table.get(suspicion.host);
    return record !== undefined && compareRecords(record, suspicion) === 0;
  };

  const notifySuspect = async (suspicion: MemberRecord): Promise<void> => {
    const { controlAddress } = suspicion;
    const answers = await pushRecords(group, controlAddress, table.service, [suspicion]);
    group.apply(answers.map(decodeRecord), 'gossip');
  };

  const declareDead = (suspicion: MemberRecord): void => {
    const deadRecord: MemberRecord = { ...suspicion, liveness: 'dead' };
    group.apply([deadRecord], 'push');
    void pushToGroup(group, deadRecord);
  };

  const watchSuspicion = async (suspicion: MemberRecord): Promise<void> => {
    const endsAt = clock.monotonicMilliseconds() + membershipTimes.suspicionTimeout;
    void notifySuspect(suspicion);
    while (!signal.aborted && isUnchanged(suspicion) && clock.monotonicMilliseconds() < endsAt) {
      const startedAt = clock.monotonicMilliseconds();
      await probeDirectly(group, suspicion);
      const nextAt = Math.min(endsAt, startedAt + membershipTimes.suspicionProbePeriod);
      await clock.sleep(Math.max(0, nextAt - clock.monotonicMilliseconds()), signal);
    }
    if (!signal.aborted && isUnchanged(suspicion)) declareDead(suspicion);
  };

  const raiseSuspicion = async (target: MemberRecord): Promise<void> => {
    const { host, service } = target;
    const suspicion: MemberRecord = { ...target, liveness: 'suspect' };
    group.apply([suspicion], 'gossip');
    if (!isUnchanged(suspicion)) return;
    logger.log('memberSuspected', { host, service });
    await watchSuspicion(suspicion);
  };

  const probe = async (target: MemberRecord): Promise<boolean> => {
    if (await probeDirectly(group, target)) return true;
    return probeIndirectly(group, target);
  };

  return async (target) => {
    const { host } = target;
    if (inProgress.has(host) || !isProbeTarget(target)) return;
    inProgress.add(host);
    const isAnswered = await probe(target);
    const latest = table.get(host);
    const isFailed = !isAnswered && !signal.aborted && latest && isProbeTarget(latest);
    // The suspicion is not awaited, so that it does not delay the next probe period.
    const suspicion = isFailed ? raiseSuspicion(latest) : Promise.resolve();
    void suspicion.finally(() => inProgress.delete(host));
  };
}
