import type { Suspect } from '@buckthornslip/calls';
import type { channelMessages } from '@buckthornslip/wire';

/** Encoding of a time that is not stated. */
const UNKNOWN = -1;

/** Most suspects that are read from one message. */
const MAXIMUM_SUSPECTS = 512;

/**
 * @param suspects - Suspects.
 * @returns The message for another node.
 * @internal
 */
export function toSuspectsMessage(suspects: readonly Suspect[]): channelMessages.Suspects {
  return {
    suspects: suspects.map(({ failures, fingerprint, remainingMilliseconds }) => ({
      fingerprint,
      failures,
      remainingMilliseconds: Math.floor(remainingMilliseconds ?? UNKNOWN),
    })),
  };
}

/**
 * @param message - A message of another node.
 * @returns The suspects.
 * @internal
 */
export function fromSuspectsMessage(message: channelMessages.Suspects): readonly Suspect[] {
  return message.suspects
    .slice(0, MAXIMUM_SUSPECTS)
    .map(({ failures, fingerprint, remainingMilliseconds }) => ({
      fingerprint,
      failures,
      remainingMilliseconds: remainingMilliseconds < 0 ? undefined : remainingMilliseconds,
    }));
}
