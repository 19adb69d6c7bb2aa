import type {
  AttemptId,
  HostId,
  Incarnation,
  PartitionId,
  RootCallId,
  ServiceId,
} from '@buckthornslip/common';
import { callMessages, createUnaryHandler } from '@buckthornslip/wire';

import type { ClaimAnswer } from '../idempotency/ClaimAnswer';
import type { ClaimRequest } from '../idempotency/ClaimRequest';
import type { ReplicaMessage } from '../idempotency/ReplicaMessage';
import type { CallControlHandlers } from './CallControlHandlers';
import { fromBindingMessage } from './fromBindingMessage';

const steps: Readonly<Record<string, ReplicaMessage['step']>> = {
  begin: 'begin',
  part: 'part',
  complete: 'complete',
};

function toClaimRequest(message: callMessages.ClaimMessage): ClaimRequest {
  return {
    service: message.service as ServiceId,
    scopedKey: message.scopedKey,
    requestDigest: message.requestDigest,
    attemptId: message.attemptId as AttemptId,
    servingNode: {
      host: message.servingHost as HostId,
      incarnation: message.servingIncarnation as Incarnation,
    },
  };
}

function toClaimResponse(answer: ClaimAnswer): callMessages.ClaimResponse {
  if (answer.kind !== 'bound') {
    return { result: answer.kind, binding: undefined, existing: false };
  }
  const { attemptId, existing, servingNode } = answer.claim;
  const binding = callMessages.BindingMessage.fromPartial({
    attemptId,
    servingHost: servingNode.host,
    servingIncarnation: servingNode.incarnation,
  });
  return { result: 'bound', binding, existing };
}

function toReplicaMessage(request: callMessages.ReplicateRequest): ReplicaMessage | undefined {
  const step = steps[request.step];
  if (!step) return undefined;
  return {
    partition: request.partition as PartitionId,
    epoch: request.epoch,
    transferId: request.transferId,
    step,
    bindings: request.bindings.map(fromBindingMessage),
    unknownRange: {
      createdUpToMilliseconds: request.unknownCreatedUpToMilliseconds,
      untilMilliseconds: request.unknownUntilMilliseconds,
    },
  };
}

/**
 * Creates the call control service of one node.
 *
 * @param handlers - State behind the service.
 * @returns The implementation for `addService` of a gRPC server.
 * @public
 */
export function createCallControlImplementation(
  handlers: CallControlHandlers,
): callMessages.CallControlServer {
  const { budgets, suspects, findRegistry, openRegistry } = handlers;
  return {
    spendRetry: createUnaryHandler((request) => ({
      granted: budgets.spend(request.rootCallId as RootCallId),
    })),
    claim: createUnaryHandler(async (message) => {
      const request = toClaimRequest(message);
      const registry = findRegistry(request.service);
      const answer: ClaimAnswer = registry ? await registry.claim(request) : { kind: 'not-holder' };
      return toClaimResponse(answer);
    }),
    release: createUnaryHandler(async (request) => {
      const registry = findRegistry(request.service as ServiceId);
      const attemptId = request.attemptId as AttemptId;
      const holder = registry ? await registry.release(request.scopedKey, attemptId) : false;
      return { holder };
    }),
    replicate: createUnaryHandler((request) => {
      const message = toReplicaMessage(request);
      if (!message) return { accepted: false };
      const registry = openRegistry(message.partition);
      return { accepted: registry?.acceptReplica(message) ?? false };
    }),
    shareSuspects: createUnaryHandler((request) => {
      suspects.merge(request.suspects);
      return {};
    }),
  };
}
