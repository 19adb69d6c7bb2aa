import type { Suspect } from '@buckthornslip/calls';
import type { channelMessages } from '@buckthornslip/wire';

import type { InterruptedCall } from '../serving/InterruptedCall';

/** Encoding of a time that is not stated. */
const UNKNOWN = -1;

/** Most suspects that are read from one message. */
const MAXIMUM_SUSPECTS = 512;

/** Most interrupted calls that are read from one message. */
const MAXIMUM_INTERRUPTED_CALLS = 256;

/**
 * @param suspects - Suspects.
 * @returns The message for another node.
 * @internal
 */
export function toSuspectsMessage(suspects: readonly Suspect[]): channelMessages.Suspects {
  return {
    suspects: suspects.map(({ clearedIds = [], failureIds = [], ...suspect }) => ({
      ...suspect,
      failureIds: [...failureIds],
      clearedIds: [...clearedIds],
      remainingMilliseconds: Math.floor(suspect.remainingMilliseconds ?? UNKNOWN),
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
    .map(({ remainingMilliseconds, ...suspect }) => ({
      ...suspect,
      remainingMilliseconds: remainingMilliseconds < 0 ? undefined : remainingMilliseconds,
    }));
}

/**
 * @param calls - Calls that were lost with an earlier process of the other node.
 * @returns The message for the other node.
 * @internal
 */
export function toInterruptedCallsMessage(
  calls: readonly InterruptedCall[],
): channelMessages.InterruptedCalls {
  return {
    calls: calls.map(({ ageMilliseconds, fingerprint }) => ({
      fingerprint,
      ageMilliseconds: Math.floor(ageMilliseconds),
    })),
  };
}

/**
 * @param message - A message of another node.
 * @returns The calls that were lost with an earlier process of this node.
 * @internal
 */
export function fromInterruptedCallsMessage(
  message: channelMessages.InterruptedCalls,
): readonly InterruptedCall[] {
  return message.calls.slice(0, MAXIMUM_INTERRUPTED_CALLS);
}
