import { isDeparted } from '../member/isDeparted';
import type { NodeContext } from '../node/NodeContext';
import type { MemberTable } from './MemberTable';

/**
 * Removes records of departed nodes after the retention time.
 *
 * @param context - Dependencies of the node, whose own record is kept.
 * @param table - Members of a service.
 * @internal
 */
export function removeDeparted(context: NodeContext, table: MemberTable): void {
  const { clock, departedRetentionMilliseconds, self } = context;
  const selfHost = self.current().host;
  const oldest = clock.monotonicMilliseconds() - departedRetentionMilliseconds;
  table.remove(
    (record, changedAt) => record.host !== selfHost && isDeparted(record) && changedAt < oldest,
  );
}
