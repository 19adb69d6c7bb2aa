import type { callMessages } from '@buckthornslip/wire';

import type { Binding } from '../idempotency/Binding';

/**
 * @param binding - A binding.
 * @returns Its gRPC message.
 * @internal
 */
export function toBindingMessage(binding: Binding): callMessages.BindingMessage {
  return {
    scopedKey: binding.scopedKey,
    requestDigest: binding.requestDigest,
    attemptId: binding.attemptId,
    servingHost: binding.servingNode.host,
    servingIncarnation: binding.servingNode.incarnation,
    released: binding.released,
    epoch: binding.epoch,
    version: binding.version,
    boundAtMilliseconds: binding.boundAtMilliseconds,
  };
}
