import { isDeparted } from '../member/isDeparted';
import type { NodeContext } from '../node/NodeContext';
import type { MemberTable } from './MemberTable';

/**
 * Removes records of nodes that have gone long ago.
 *
 * @param context - Shared parts of the node, whose own record stays.
 * @param table - Members of a service.
 * @internal
 */
export function removeDeparted(context: NodeContext, table: MemberTable): void {
  const { clock, departedRetentionMilliseconds, self } = context;
  const own = self.current().host;
  const oldest = clock.monotonicMilliseconds() - departedRetentionMilliseconds;
  table.remove(
    (record, changedAt) => record.host !== own && isDeparted(record) && changedAt < oldest,
  );
}
