import type { Result } from '@buckthornslip/common';
import { failure, success } from '@buckthornslip/common';
import type { AccountDefinition, RouteDefinition } from '@buckthornslip/config';
import type { ConfigurationSnapshot } from '@buckthornslip/distribution';

import type { Refusal } from '../http/Refusal';
import { refuse } from '../http/refuse';

/**
 * The account to which an API key belongs.
 *
 * @internal
 */
export interface Authenticated {
  readonly account: AccountDefinition;
  /** SHA-256 of the key, in lower-case hexadecimal. */
  readonly digest: string;
}

/**
 * Finds the account of an API key. The lookup is by digest, so that its duration reveals nothing about the key.
 *
 * @param snapshot - Active configuration.
 * @param isFresh - Whether the configuration is recent enough to rule out an unseen withdrawal of the key.
 * @param route - Route of the request.
 * @param digest - Digest of the key in the request.
 * @returns The account, or the refusal.
 * @internal
 */
export function authenticate(
  snapshot: ConfigurationSnapshot,
  isFresh: boolean,
  route: RouteDefinition,
  digest: string | undefined,
): Result<Authenticated, Refusal> {
  if (digest === undefined) return failure(refuse('key-missing'));
  const record = snapshot.keys.get(digest);
  if (record === undefined) return failure(refuse('key-unknown'));
  if (record.state === 'withdrawn') return failure(refuse('key-withdrawn'));
  const account = snapshot.manifest.accounts.get(record.account);
  if (account === undefined) return failure(refuse('route-not-allowed'));
  if (!isFresh && account.whenIsolated !== 'serve') return failure(refuse('configuration-stale'));
  const isAllowed = account.routes.length === 0 || account.routes.includes(route.name);
  return isAllowed ? success({ account, digest }) : failure(refuse('route-not-allowed'));
}
