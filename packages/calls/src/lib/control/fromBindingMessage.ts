import type { AttemptId, HostId, Incarnation } from '@buckthornslip/common';
import type { callMessages } from '@buckthornslip/wire';

import type { Binding } from '../idempotency/Binding';

/**
 * @param message - gRPC message of a binding.
 * @returns The binding.
 * @internal
 */
export function fromBindingMessage(message: callMessages.BindingMessage): Binding {
  return {
    scopedKey: message.scopedKey,
    requestDigest: message.requestDigest,
    attemptId: message.attemptId as AttemptId,
    servingNode: {
      host: message.servingHost as HostId,
      incarnation: message.servingIncarnation as Incarnation,
    },
    released: message.released,
    epoch: message.epoch,
    version: message.version,
    boundAtMilliseconds: message.boundAtMilliseconds,
  };
}
