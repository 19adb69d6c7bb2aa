import type { RouterSettings } from '@buckthornslip/routing';

/**
 * Settings of the router in which a sidecar differs from the defaults.
 *
 * @internal
 */
export const sidecarRouterSettings: Partial<RouterSettings> = {
  // The users' upstreams run at half their speed for three seconds after a start. A node that restarts alone leaves its
  // upstream warm, and in a rolling restart a longer slow start would overload the members that have not restarted yet.
  slowStartMilliseconds: 3_000,
  slowStartShare: 0.5,
};
