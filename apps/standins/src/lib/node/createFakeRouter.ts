import { failure, success } from '@buckthornslip/common';
import type { Membership } from '@buckthornslip/membership';
import type { Router } from '@buckthornslip/routing';

/**
 * @param membership - Names the members.
 * @returns A router that takes the ready members in turn.
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
