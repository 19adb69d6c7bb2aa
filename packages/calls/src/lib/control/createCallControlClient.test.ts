import type { IdempotencyRegistry } from '@buckthornslip/calls';
import {
  createCallControlClient,
  createCallControlImplementation,
  createRetryBudgets,
  createSuspectTable,
} from '@buckthornslip/calls';
import type { AttemptId, HostId, Incarnation, RootCallId, ServiceId } from '@buckthornslip/common';
import { createSystemClock } from '@buckthornslip/common';
import { authenticateDefinition, callMessages, createPeerChannels } from '@buckthornslip/wire';
import { Server, ServerCredentials } from '@grpc/grpc-js';
import t from 'tap';

const servingNode = { host: 'riga-2' as HostId, incarnation: 1_767_225_600_123 as Incarnation };

const registry: IdempotencyRegistry = {
  claim: async ({ attemptId }) => ({
    kind: 'bound',
    claim: { attemptId, servingNode, existing: true },
  }),
  release: async () => true,
  acceptReplica: (message) => message.step === 'begin' && message.epoch === 3,
  prepareCandidate: async () => true,
};

async function startServer(secret: string) {
  const clock = createSystemClock();
  const budgets = createRetryBudgets();
  const suspects = createSuspectTable(clock, () => undefined);
  const server = new Server();
  server.addService(
    authenticateDefinition(callMessages.CallControlService, secret),
    createCallControlImplementation({
      budgets,
      suspects,
      findRegistry: (service) => (service === 'subsidies' ? registry : undefined),
      openRegistry: () => registry,
    }),
  );
  const port = await new Promise<number>((resolve, reject) => {
    server.bindAsync('127.0.0.1:0', ServerCredentials.createInsecure(), (error, bound) =>
      error ? reject(error) : resolve(bound),
    );
  });
  return { server, budgets, suspects, address: `127.0.0.1:${port}` };
}

void t.test('call control messages survive a round trip over gRPC', async (test) => {
  const { server, budgets, suspects, address } = await startServer('secret');
  const channels = createPeerChannels(createSystemClock());
  test.teardown(() => {
    channels.close();
    server.forceShutdown();
  });
  const client = createCallControlClient(channels, 'secret');
  const rootCallId = 'root' as RootCallId;
  budgets.open(rootCallId, 1);
  test.equal(await client.spendRetry(address, rootCallId), true);
  test.equal(await client.spendRetry(address, rootCallId), false);

  const request = {
    service: 'subsidies' as ServiceId,
    scopedKey: 'a\nk',
    requestDigest: 'd',
    attemptId: 'attempt' as AttemptId,
    servingNode,
  };
  const expected = { kind: 'bound', claim: { attemptId: 'attempt', servingNode, existing: true } };
  test.same(await client.claim(address, request, 1_000), expected);
  const elsewhere = { ...request, service: 'balances' as ServiceId };
  test.same(await client.claim(address, elsewhere, 1_000), { kind: 'not-holder' });

  const replica = { ...servingNode, controlAddress: address };
  const unknownRange = { createdUpToMilliseconds: 1, untilMilliseconds: 2 };
  const message = {
    partition: 'home/subsidies' as never,
    epoch: 3,
    transferId: 1,
    step: 'begin',
    bindings: [],
    unknownRange,
  } as const;
  test.equal(await client.replicate(replica, message), true);
  test.equal(await client.replicate(replica, { ...message, step: 'part' }), false);

  client.shareSuspects(address, [{ fingerprint: 'f', failures: 2 }]);
  await client.spendRetry(address, rootCallId);
  test.equal(suspects.classify('f'), 'refused');
});

void t.test('a node with a different fleet secret gets no answer', async (test) => {
  const { server, budgets, address } = await startServer('secret');
  const channels = createPeerChannels(createSystemClock());
  test.teardown(() => {
    channels.close();
    server.forceShutdown();
  });
  const otherNode = createCallControlClient(channels, 'another secret');
  budgets.open('root' as RootCallId, 1);
  test.equal(await otherNode.spendRetry(address, 'root' as RootCallId), undefined);
  test.equal(budgets.spend('root' as RootCallId), true, 'no retry was spent');
});
