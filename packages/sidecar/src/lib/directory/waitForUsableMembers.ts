import type { ServiceId } from '@buckthornslip/common';
import type { Member } from '@buckthornslip/membership';
import { catchError, filter, firstValueFrom, of, timeout } from 'rxjs';

import type { MemberTable } from './createMemberTable';

const isUsable = (members: readonly Member[]): boolean =>
  members.some(({ alive, state }) => alive && state === 'ready');

/**
 * @param table - Known members.
 * @param service - The service.
 * @param timeoutMilliseconds - Longest wait, in milliseconds.
 * @returns The members of the service, once one of them can be used or the time is over.
 * @internal
 */
export function waitForUsableMembers(
  table: Pick<MemberTable, 'changes' | 'ofService'>,
  service: ServiceId,
  timeoutMilliseconds: number,
): Promise<readonly Member[]> {
  const known = table.ofService(service);
  if (isUsable(known)) return Promise.resolve(known);
  return firstValueFrom(
    table.changes(service).pipe(
      filter(isUsable),
      timeout(timeoutMilliseconds),
      catchError(() => of(table.ofService(service))),
    ),
  );
}
