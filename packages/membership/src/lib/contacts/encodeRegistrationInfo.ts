import type { membershipMessages } from '@buckthornslip/wire';

import type { RegistrationInfo } from './RegistrationInfo';

/**
 * Encodes the configuration information that a contact sends. Infinite freshness is encoded as the largest
 * safe integer, because the message can't represent infinity.
 *
 * @param info - The information, if any.
 * @returns The message.
 * @internal
 */
export function encodeRegistrationInfo(
  info: RegistrationInfo | undefined,
): membershipMessages.RegistrationInformation | undefined {
  if (!info) return undefined;
  const freshness = Math.ceil(info.freshnessMilliseconds);
  return {
    revision: info.revision,
    freshnessMilliseconds: Math.min(freshness, Number.MAX_SAFE_INTEGER),
  };
}
