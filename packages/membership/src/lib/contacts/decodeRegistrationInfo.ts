import type { membershipMessages } from '@buckthornslip/wire';

import type { RegistrationInfo } from './RegistrationInfo';

/**
 * Decodes what a contact told about the configuration.
 *
 * @param message - The message.
 * @param roundTripMilliseconds - Time from sending the request to the response, by which the freshness
 * may have aged on the way, in milliseconds.
 * @returns What was told.
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
