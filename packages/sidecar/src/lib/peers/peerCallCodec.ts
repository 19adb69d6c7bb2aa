import type { AccountId, ServiceId } from '@buckthornslip/common';

import type { ServingCall } from '../serving/ServingCall';

/** The parts of a call that travel in a header of their own. */
export type PeerCall = Pick<
  ServingCall,
  'requestId' | 'service' | 'account' | 'callerService' | 'rank' | 'isNested' | 'repeatable'
> & {
  readonly remainingMilliseconds: number;
};

const SEPARATOR = ';';

/**
 * @param call - The call.
 * @returns Value of the header between nodes; names are encoded, since they may hold any character.
 * @internal
 */
export function encodePeerCall(call: PeerCall): string {
  return [
    Math.max(0, Math.floor(call.remainingMilliseconds)),
    call.rank,
    call.isNested ? 1 : 0,
    call.repeatable ? 1 : 0,
    encodeURIComponent(call.requestId),
    encodeURIComponent(call.service),
    encodeURIComponent(call.callerService),
    encodeURIComponent(call.account ?? ''),
  ].join(SEPARATOR);
}

/**
 * @param text - Value of the header.
 * @returns The call, or undefined if the value is malformed.
 * @internal
 */
export function decodePeerCall(text: string): PeerCall | undefined {
  const parts = text.split(SEPARATOR);
  if (parts.length !== 8) return undefined;
  const [remaining, rank, nested, repeatable, requestId, service, callerService, account] =
    parts as [string, string, string, string, string, string, string, string];
  const remainingMilliseconds = Number(remaining);
  if (!Number.isFinite(remainingMilliseconds) || !Number.isFinite(Number(rank))) return undefined;
  return {
    remainingMilliseconds,
    rank: Number(rank),
    isNested: nested === '1',
    repeatable: repeatable === '1',
    requestId: decodeURIComponent(requestId),
    service: decodeURIComponent(service) as ServiceId,
    callerService: decodeURIComponent(callerService) as ServiceId,
    account: account === '' ? undefined : (decodeURIComponent(account) as AccountId),
  };
}
