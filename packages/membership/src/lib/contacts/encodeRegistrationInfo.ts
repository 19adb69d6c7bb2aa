import type { membershipMessages } from '@buckthornslip/wire';

import type { RegistrationInfo } from './RegistrationInfo';

/**
 * Encodes what a contact tells about the configuration. Infinite freshness becomes the largest
 * integer, because the message has no infinity.
 *
 * @param info - What is told, if anything.
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
