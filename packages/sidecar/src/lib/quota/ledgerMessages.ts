import type { AccountId } from '@buckthornslip/common';
import type { LedgerGrant, LedgerRequest } from '@buckthornslip/limits';

/** A request for tokens, as it travels in a datagram. */
interface RequestMessage extends LedgerRequest {
  readonly kind: 'request';
  /** Pairs the answer with the request. */
  readonly sequence: number;
}

/** The answer to a request for tokens. */
interface GrantMessage extends LedgerGrant {
  readonly kind: 'grant';
  readonly sequence: number;
}

/**
 * Messages between gates and ledgers.
 *
 * @internal
 */
export type LedgerMessage = RequestMessage | GrantMessage;

const isCount = (value: unknown): value is number => Number.isFinite(value) && Number(value) >= 0;

/**
 * @param bytes - A datagram.
 * @returns The message, or undefined if it is malformed.
 * @internal
 */
export function parseLedgerMessage(bytes: Buffer): LedgerMessage | undefined {
  let value: Readonly<Record<string, unknown>>;
  try {
    value = JSON.parse(bytes.toString('utf8')) as typeof value;
  } catch {
    return undefined;
  }
  if (typeof value !== 'object' || value === null) return undefined;
  const { account, kind, retryAfterMilliseconds, sequence, tokens, wanted } = value;
  if (!isCount(sequence)) return undefined;
  if (kind === 'request' && typeof account === 'string' && isCount(wanted)) {
    return { kind, sequence, account: account as AccountId, wanted };
  }
  if (kind === 'grant' && isCount(tokens) && isCount(retryAfterMilliseconds)) {
    return { kind, sequence, tokens, retryAfterMilliseconds };
  }
  return undefined;
}
