import type { Clock, PartitionId, Result, ServiceId } from '@buckthornslip/common';
import { failure, success } from '@buckthornslip/common';

import type { ClaimAnswer } from './ClaimAnswer';
import type { ClaimRefusal } from './ClaimRefusal';
import type { IdempotencyLocator } from './IdempotencyLocator';
import { idempotencyPartition } from './idempotencyPartition';
import type { IdempotencyPeers } from './IdempotencyPeers';
import type { IdempotencyRegistryClient } from './IdempotencyRegistryClient';

/** Timeout of one claim, in milliseconds. A claim without an answer is sent again. */
const CLAIM_TIMEOUT_MILLISECONDS = 500;

/** Delay before the holder is looked up again, in milliseconds. */
const LOCATE_INTERVAL_MILLISECONDS = 100;

/** Maximum number of attempts to release a key. A key that stays bound only costs its next use one more round trip. */
const RELEASE_ATTEMPTS = 2;

const unavailable: ClaimRefusal = { kind: 'home-unavailable' };

function toResult(
  answer: ClaimAnswer | undefined,
): Awaited<ReturnType<IdempotencyRegistryClient['claim']>> | undefined {
  if (!answer || answer.kind === 'not-holder') return undefined;
  return answer.kind === 'bound' ? success(answer.claim) : failure(answer);
}

/**
 * Creates an entry node's client of the idempotency registries of all services.
 *
 * @param options - Clock, locator of the holders and the client of other nodes.
 * @returns The client.
 * @public
 */
export function createIdempotencyRegistryClient(options: {
  readonly clock: Clock;
  readonly locator: IdempotencyLocator;
  readonly peers: IdempotencyPeers;
}): IdempotencyRegistryClient {
  const { clock, locator, peers } = options;

  const locate = async (partition: PartitionId): Promise<Result<string, ClaimRefusal>> => {
    const location = await locator.locate(partition);
    return location.ok ? success(location.value.controlAddress) : failure(unavailable);
  };

  return {
    claim: async (request, timeoutMilliseconds) => {
      const partition = idempotencyPartition(request.service);
      const endMilliseconds = clock.monotonicMilliseconds() + timeoutMilliseconds;
      let remainingMilliseconds = timeoutMilliseconds;
      while (remainingMilliseconds > 0) {
        const address = await locate(partition);
        if (address.ok) {
          const claimTimeout = Math.min(remainingMilliseconds, CLAIM_TIMEOUT_MILLISECONDS);
          const result = toResult(await peers.claim(address.value, request, claimTimeout));
          if (result) return result;
          locator.forgetLocation(partition);
        }
        remainingMilliseconds = endMilliseconds - clock.monotonicMilliseconds();
        await clock.sleep(
          Math.min(LOCATE_INTERVAL_MILLISECONDS, Math.max(0, remainingMilliseconds)),
        );
        remainingMilliseconds = endMilliseconds - clock.monotonicMilliseconds();
      }
      return failure(unavailable);
    },
    release: async (service: ServiceId, scopedKey, attemptId) => {
      const partition = idempotencyPartition(service);
      for (let tries = 0; tries < RELEASE_ATTEMPTS; tries += 1) {
        const address = await locate(partition);
        if (!address.ok) return;
        if (await peers.release(address.value, service, scopedKey, attemptId)) return;
        locator.forgetLocation(partition);
      }
    },
  };
}
