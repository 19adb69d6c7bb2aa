import { failure, success } from '@buckthornslip/common';
import type { Membership } from '@buckthornslip/membership';
import type { Router } from '@buckthornslip/routing';

/**
 * @param membership - Members to choose from.
 * @returns A router that balances calls over the ready members round-robin.
 * @internal
 */
export function createFakeRouter(membership: Membership): Router {
  let nextIndex = 0;
  return {
    choose: async ({ excludedHosts, service }) => {
      const ready = membership
        .members(service)
        .filter(({ host, state }) => state === 'ready' && !excludedHosts.has(host));
      const chosen = ready[nextIndex % ready.length];
      nextIndex += 1;
      return chosen === undefined ? failure({ kind: 'no-upstream' }) : success(chosen);
    },
    report: () => undefined,
  };
}
