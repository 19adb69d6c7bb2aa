import { Server, ServerCredentials } from '@grpc/grpc-js';
import t from 'tap';
import type { AccountId, PartitionId, RegionId } from '@buckthornslip/common';
import { createSystemClock } from '@buckthornslip/common';
import { createPeerChannels } from '@buckthornslip/wire';
import { createGrpcLimitPeers, createLimitsHandlers } from '@buckthornslip/limits';
import type { GrantRequest, GrantResponse } from '@buckthornslip/limits';

const request: GrantRequest = {
  partition: 'limits/east/0' as PartitionId,
  account: 'account' as AccountId,
  region: 'west' as RegionId,
  needed: 3,
  ahead: 2,
  demand: 7,
  reports: [{ epoch: 4, sequence: 9, spent: 2, closed: true }],
};

const responses: readonly GrantResponse[] = [
  { kind: 'granted', epoch: 4, sequence: 10, tokens: 5, lifeMilliseconds: 812.5 },
  { kind: 'empty', retryAfterMilliseconds: 33.25 },
  { kind: 'other-region', region: 'west' as RegionId },
  { kind: 'not-holder' },
];

void t.test('requests and responses round-trip over gRPC', async (test) => {
  const received: GrantRequest[] = [];
  const tokenServer = {
    handle: (incoming: GrantRequest): GrantResponse => {
      received.push(incoming);
      return responses[received.length - 1] ?? { kind: 'not-holder' };
    },
    stop: () => undefined,
  };
  const server = new Server();
  const { definition, handlers } = createLimitsHandlers(tokenServer, 'fleet secret');
  server.addService(definition, handlers);
  const port = await new Promise<number>((resolve, reject) => {
    server.bindAsync('127.0.0.1:0', ServerCredentials.createInsecure(), (error, bound) => {
      if (error) reject(error);
      else resolve(bound);
    });
  });
  const address = `127.0.0.1:${port}`;
  const channels = createPeerChannels(createSystemClock());
  const peers = createGrpcLimitPeers('fleet secret', channels);
  for (const response of responses) {
    test.same(await peers.grantTokens(address, request, 5_000), { ok: true, value: response });
  }
  test.same(received[0], request);
  const otherFleetPeers = createGrpcLimitPeers('another secret', channels);
  const refused = await otherFleetPeers.grantTokens(address, request, 5_000);
  test.same(refused, { ok: false, error: { kind: 'unreachable' } });
  test.equal(received.length, responses.length);
  channels.close();
  server.forceShutdown();
});
