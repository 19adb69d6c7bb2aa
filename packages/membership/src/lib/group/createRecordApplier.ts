import { hasSameVisibleFields } from '../member/hasSameVisibleFields';
import type { MemberRecord } from '../member/MemberRecord';
import { membershipTimes } from '../node/membershipTimes';
import type { NodeContext } from '../node/NodeContext';
import type { MemberTable } from '../table/MemberTable';
import type { RecordChange } from '../table/RecordChange';
import type { GroupContext } from './GroupContext';
import type { RecordSource } from './RecordSource';
import type { UpdateQueue } from './UpdateQueue';

/** Handlers of changes in a group's table. */
interface ChangeHandlers {
  readonly queue: UpdateQueue;
  readonly forward: (record: MemberRecord) => void;
  readonly verify: (record: MemberRecord) => void;
}

/**
 * Creates the function that merges records from other nodes into a group's table. Changes spread on probe
 * messages; those that users can see are also forwarded to subscribers immediately. Wrong records of this
 * node are refuted.
 *
 * @param context - Dependencies of the node.
 * @param table - Members of the service.
 * @param handlers - Handlers of changes.
 * @returns The function.
 * @internal
 */
export function createRecordApplier(
  context: NodeContext,
  table: MemberTable,
  handlers: ChangeHandlers,
): GroupContext['apply'] {
  const { clock, logger, self } = context;

  /** The node that raised a suspicion may fail before it confirms or drops it. */
  const checkLater = (suspicion: MemberRecord): void => {
    clock.setTimer(membershipTimes.reportedSuspicionTimeout, () => {
      const latest = table.get(suspicion.host);
      const isUndecided = latest?.liveness === 'suspect' && latest.version === suspicion.version;
      if (isUndecided && !context.signal.aborted) handlers.verify(latest);
    });
  };

  const logChange = ({ earlier, current }: RecordChange): void => {
    const { host, service, incarnation } = current;
    const wasDead = earlier?.liveness === 'dead';
    if (current.liveness === 'dead' && !wasDead) logger.log('memberDied', { host, service });
    if (current.liveness === 'alive' && wasDead && earlier.incarnation === incarnation) {
      logger.log('memberReturned', { host, service });
    }
  };

  /** New members in a roster are already known to the group, and a joining node learns of many of them. */
  const isNewToGroup = ({ earlier }: RecordChange, source: RecordSource): boolean =>
    source !== 'roster' || earlier !== undefined;

  const spread = (change: RecordChange, source: RecordSource): void => {
    if (isNewToGroup(change, source)) handlers.queue.add(change.current, source);
    if (!hasSameVisibleFields(change.earlier, change.current)) handlers.forward(change.current);
    if (change.current.liveness === 'suspect') checkLater(change.current);
    logChange(change);
  };

  const merge = (records: readonly MemberRecord[], source: RecordSource): void =>
    table.merge(records).forEach((change) => spread(change, source));

  return (records, source) => {
    const selfHost = self.current().host;
    const aboutSelf = records.filter(({ host }) => host === selfHost);
    if (aboutSelf.filter(self.refute).length > 0) merge([self.current()], 'gossip');
    merge(
      records.filter(({ host }) => host !== selfHost),
      source,
    );
  };
}
