import type { IncomingMessage } from 'node:http';

import type { Refusal } from '@buckthornslip/calls';
import { refuse } from '@buckthornslip/calls';
import type { Result } from '@buckthornslip/common';
import { failure, success } from '@buckthornslip/common';
import type { CallPolicy, PolicyAccount, PolicyRoute } from '@buckthornslip/config';

import type { RequestHead } from '../protocol/RequestHead';
import type { RunningParent } from '../serving/createRunningCalls';
import type { AcceptedRequest } from './AcceptedRequest';
import { DEFAULT_TIMEOUT_MILLISECONDS } from './DEFAULT_TIMEOUT_MILLISECONDS';
import type { EntryOptions } from './EntryOptions';
import { timeoutOf } from './timeoutOf';

/** Routes and authenticates requests according to the current policy. */
export interface RequestAcceptor {
  /** @param head - Decoded headers of the request. */
  readonly accept: (
    request: IncomingMessage,
    head: RequestHead,
  ) => Result<AcceptedRequest, Refusal>;
}

/**
 * Creates the acceptor of an entry node. It finds the route, checks the key and determines the priority rank.
 *
 * @param options - Dependencies of the entry side.
 * @returns The acceptor.
 * @internal
 */
export function createRequestAcceptor(options: EntryOptions): RequestAcceptor {
  const { clock, policy, stopBound } = options;

  const authenticate = (
    current: CallPolicy,
    { access }: PolicyRoute,
    { key }: RequestHead,
  ): Result<PolicyAccount | undefined, Refusal> => {
    if (access === 'open') return success(undefined);
    if (key === undefined) return failure(refuse('key-missing'));
    const account = current.accountOfKey.get(key);
    return account ? success(account) : failure(refuse('key-unknown'));
  };

  /**
   * A call that starts late in a shutdown could be interrupted by its end. Those of the local upstream are accepted if they end
   * before, because calls that run there need them.
   */
  const isServedLate = (route: PolicyRoute, head: RequestHead, isNested: boolean): boolean => {
    if (!isNested || options.running.isEmpty()) return false;
    return stopBound.fits({ route: route.name, timeoutMilliseconds: timeoutOf(head, route) });
  };

  const findParent = (route: PolicyRoute, head: RequestHead): RunningParent | undefined =>
    options.running.findParent({
      route: route.name,
      nowMilliseconds: clock.monotonicMilliseconds(),
      remainingMilliseconds: head.timeoutMilliseconds ?? DEFAULT_TIMEOUT_MILLISECONDS,
    });

  const accept = (
    request: IncomingMessage,
    head: RequestHead,
  ): Result<AcceptedRequest, Refusal> => {
    const current = policy.current();
    const routes = options.routes();
    if (!current || !routes) return failure(refuse('configuration-missing'));
    const entry = routes.match(request.headers.host ?? '', request.url ?? '');
    if (!entry) return failure(refuse('route-not-found'));
    if (head.requestId === undefined) return failure(refuse('header-invalid'));
    const account = authenticate(current, entry.route, head);
    if (!account.ok) return account;
    // Callers and the local upstream connect from the same address. An upstream sends no key, and callers rarely use
    // open routes.
    const isNested = entry.route.access === 'open' && head.key === undefined;
    if (options.refusesCallers() && !isServedLate(entry.route, head, isNested))
      return failure(refuse('node-stopping'));
    const parent = isNested ? findParent(entry.route, head) : undefined;
    const ownRank = options.priorityRanks()?.rankOf(account.value, entry.route) ?? 0;
    // A nested call with an unknown parent may belong to an urgent call, and its parent has already used resources.
    const rank = isNested ? (parent?.rank ?? 0) : ownRank;
    return success({
      policy: current,
      entry,
      head,
      account: account.value,
      isNested,
      parent,
      rank,
    });
  };

  return { accept };
}
