import type { Clock } from '@buckthornslip/common';

import type { Member } from '../member/Member';
import type { MemberTable } from '../table/MemberTable';

const isUsable = ({ alive, state }: Member): boolean => alive && state === 'ready';

/**
 * Waits until a table contains a live, ready member.
 *
 * @param table - Members of the service.
 * @param clock - Source of time.
 * @param timeoutMilliseconds - Maximum wait, in milliseconds.
 * @returns The members at the end of the wait.
 * @internal
 */
export async function waitForUsableMember(
  table: MemberTable,
  clock: Clock,
  timeoutMilliseconds: number,
): Promise<readonly Member[]> {
  if (table.members().some(isUsable)) return table.members();
  const waiting = new AbortController();
  const subscription = table.changes.subscribe((members) => {
    if (members.some(isUsable)) waiting.abort();
  });
  await clock.sleep(timeoutMilliseconds, waiting.signal);
  subscription.unsubscribe();
  return table.members();
}
