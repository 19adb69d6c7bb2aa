import type { membershipMessages } from '@buckthornslip/wire';

import type { RegistrationInfo } from './RegistrationInfo';

/**
 * Decodes the configuration information that a contact sent.
 *
 * @param message - The message.
 * @param roundTripMilliseconds - Round-trip time of the request, in milliseconds. It is added to the
 *   freshness, which may have aged by that much in transit.
 * @returns The information.
 * @internal
 */
export function decodeRegistrationInfo(
  message: membershipMessages.RegistrationInformation,
  roundTripMilliseconds: number,
): RegistrationInfo {
  const { revision, freshnessMilliseconds } = message;
  const isNever = freshnessMilliseconds === Number.MAX_SAFE_INTEGER;
  return {
    revision,
    freshnessMilliseconds: isNever ? Infinity : freshnessMilliseconds + roundTripMilliseconds,
  };
}
