import { setMaxListeners } from 'node:events';

import type { ServiceId } from '@buckthornslip/common';
import { isSameNode } from '@buckthornslip/common';

import { decodeRecord } from '../member/decodeRecord';
import { encodeRecord } from '../member/encodeRecord';
import type { MemberRecord } from '../member/MemberRecord';
import type { NodeContext } from '../node/NodeContext';
import { answerPull } from '../table/answerPull';
import { createMemberTable } from '../table/createMemberTable';
import { createFailureDetector } from './createFailureDetector';
import { createGroupTask } from './createGroupTask';
import { createRecordApplier } from './createRecordApplier';
import { createSubscriberList } from './createSubscriberList';
import { createUpdateQueue } from './createUpdateQueue';
import type { GroupContext } from './GroupContext';
import { probeDirectly } from './probeDirectly';
import { pushToGroup } from './pushToGroup';
import type { ServiceGroup } from './ServiceGroup';

/**
 * Creates the gossip group of the node's own service.
 *
 * @param node - Dependencies of the node.
 * @param service - The service.
 * @param findMembers - Asks zone contacts for members of a service.
 * @returns The group; `run` starts its task.
 * @internal
 */
export function createServiceGroup(
  node: NodeContext,
  service: ServiceId,
  findMembers: (service: ServiceId, limit: number) => Promise<readonly MemberRecord[]>,
): ServiceGroup {
  const closing = new AbortController();
  setMaxListeners(0, closing.signal);
  const context = { ...node, signal: closing.signal };
  node.signal.addEventListener('abort', () => closing.abort(), { once: true });
  const table = createMemberTable(service, node.clock);
  const subscribers = createSubscriberList(context, table);
  const queue = createUpdateQueue(() => table.records().length);
  let verify: (target: MemberRecord) => Promise<void> = () => Promise.resolve();
  const apply = createRecordApplier(context, table, {
    queue,
    forward: subscribers.forward,
    verify: (record) => {
      void verify(record);
    },
  });
  const group: GroupContext = { ...context, table, queue, apply };
  verify = createFailureDetector(group);
  const { self } = node;

  const mergeSelf = (): void => {
    table.merge([self.current()]).forEach(({ current }) => {
      queue.add(current, 'push');
      subscribers.forward(current);
    });
  };
  mergeSelf();

  const answer = (includesSelf: boolean): readonly MemberRecord[] => {
    const selfRecord = self.current();
    const updates = queue.take().filter(({ host }) => host !== selfRecord.host);
    return includesSelf ? [selfRecord, ...updates] : updates;
  };

  return {
    service,
    table,
    announce: () => {
      mergeSelf();
      return pushToGroup(group, self.current());
    },
    verify: (host) => {
      const record = table.get(host);
      if (record) void verify(record);
    },
    answerProbe: (request) => {
      apply(request.updates.map(decodeRecord), 'gossip');
      const { host, incarnation, version } = self.current();
      const isOutdated =
        request.targetIncarnation !== incarnation || request.targetVersion !== version;
      return { host, incarnation, updates: answer(isOutdated).map(encodeRecord) };
    },
    answerIndirectProbe: async (request) => {
      if (!request.target) return { answered: false, updates: [] };
      const target = decodeRecord(request.target);
      const answered = await probeDirectly(group, target);
      const latest = table.get(target.host);
      return { answered, updates: latest ? [encodeRecord(latest)] : [] };
    },
    answerPush: (request) => {
      const records = request.updates.map(decodeRecord);
      apply(records, 'push');
      const selfRecord = self.current();
      const concernsSelf = records.some((record) => isSameNode(record, selfRecord));
      // A pushed suspicion comes from a node that can't confirm it, such as a subscriber.
      const suspects = records.filter(({ liveness }) => liveness === 'suspect');
      suspects.forEach(({ host }) => {
        const record = table.get(host);
        if (record && host !== selfRecord.host) void verify(record);
      });
      return { updates: concernsSelf ? [encodeRecord(selfRecord)] : [] };
    },
    answerPull: (request) => {
      if (request.subscriberAddress !== '') subscribers.recordPull(request.subscriberAddress);
      return answerPull(table, self.current(), request);
    },
    run: createGroupTask(group, verify, (limit) => findMembers(service, limit)),
    close: () => closing.abort(),
  };
}
