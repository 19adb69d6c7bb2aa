import type { AttemptId, HostId, Incarnation } from '@buckthornslip/common';
import type { PeerChannels } from '@buckthornslip/wire';
import { authenticateDefinition, callMessages } from '@buckthornslip/wire';

import type { ClaimAnswer } from '../idempotency/ClaimAnswer';
import type { ClaimRefusal } from '../idempotency/ClaimRefusal';
import type { CallControlClient } from './CallControlClient';
import { toBindingMessage } from './toBindingMessage';

/** Timeout for spending a retry of a remote budget, in milliseconds. Without an answer there is no retry. */
const SPEND_RETRY_TIMEOUT_MILLISECONDS = 250;

/** Timeout of the other requests, in milliseconds. */
const CONTROL_TIMEOUT_MILLISECONDS = 500;

const refusalKinds: ReadonlySet<string> = new Set<ClaimRefusal['kind']>([
  'home-unavailable',
  'idempotency-key-reused',
  'outcome-unknown',
]);

function toClaimAnswer(response: callMessages.ClaimResponse): ClaimAnswer {
  const { binding, existing, result } = response;
  if (result === 'bound' && binding) {
    const servingNode = {
      host: binding.servingHost as HostId,
      incarnation: binding.servingIncarnation as Incarnation,
    };
    const attemptId = binding.attemptId as AttemptId;
    return { kind: 'bound', claim: { attemptId, servingNode, existing } };
  }
  if (refusalKinds.has(result)) return { kind: result } as ClaimRefusal;
  return { kind: 'not-holder' };
}

/**
 * Creates the client of the call control service.
 *
 * @param channels - gRPC channels to peers.
 * @param fleetSecret - Secret shared by the nodes.
 * @returns The client.
 * @public
 */
export function createCallControlClient(
  channels: PeerChannels,
  fleetSecret: string,
): CallControlClient {
  const methods = authenticateDefinition(callMessages.CallControlService, fleetSecret);

  return {
    spendRetry: async (address, rootCallId) => {
      const timeout = SPEND_RETRY_TIMEOUT_MILLISECONDS;
      const result = await channels.call(address, methods.spendRetry, { rootCallId }, timeout);
      return result.ok ? result.value.granted : undefined;
    },
    claim: async (address, request, timeoutMilliseconds) => {
      const message: callMessages.ClaimMessage = {
        service: request.service,
        scopedKey: request.scopedKey,
        requestDigest: request.requestDigest,
        attemptId: request.attemptId,
        servingHost: request.servingNode.host,
        servingIncarnation: request.servingNode.incarnation,
      };
      const result = await channels.call(address, methods.claim, message, timeoutMilliseconds);
      return result.ok ? toClaimAnswer(result.value) : undefined;
    },
    release: async (address, service, scopedKey, attemptId) => {
      const message = { service, scopedKey, attemptId };
      const timeout = CONTROL_TIMEOUT_MILLISECONDS;
      const result = await channels.call(address, methods.release, message, timeout);
      return result.ok ? result.value.holder : undefined;
    },
    replicate: async (replica, message) => {
      const request: callMessages.ReplicateRequest = {
        partition: message.partition,
        epoch: message.epoch,
        transferId: message.transferId,
        step: message.step,
        bindings: message.bindings.map(toBindingMessage),
        unknownCreatedUpToMilliseconds: message.unknownRange.createdUpToMilliseconds,
        unknownUntilMilliseconds: message.unknownRange.untilMilliseconds,
      };
      const timeout = CONTROL_TIMEOUT_MILLISECONDS;
      const { controlAddress } = replica;
      const result = await channels.call(controlAddress, methods.replicate, request, timeout);
      return result.ok ? result.value.accepted : undefined;
    },
    shareSuspects: (address, suspects) => {
      const request = { suspects: [...suspects] };
      const timeout = CONTROL_TIMEOUT_MILLISECONDS;
      void channels.call(address, methods.shareSuspects, request, timeout);
    },
  };
}
