import type { RouterSettings } from '@buckthornslip/routing';

/**
 * Router settings that override the defaults in a sidecar.
 *
 * @internal
 */
export const sidecarRouterSettings: Partial<RouterSettings> = {
  // The users' upstreams run at half their speed for three seconds after a start. If only the node restarts, its
  // upstream stays warm; in a rolling restart a longer slow start would overload the members that have not restarted
  // yet.
  slowStartMilliseconds: 3_000,
  slowStartShare: 0.5,
};
