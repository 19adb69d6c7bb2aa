import { authenticateDefinition, StatusService } from '@buckthornslip/wire';
import { Server, ServerCredentials } from '@grpc/grpc-js';
import t from 'tap';

import { createNodeClients } from './createNodeClients';

const FLEET_SECRET = 'secret-of-the-test-fleet';

void t.test('a node returns its status only to clients with the fleet secret', async (test) => {
  const status = {
    host: 'riga-a-1',
    incarnation: 1_767_225_600_000,
    region: 'riga',
    zone: 'riga-a',
    service: 'balances',
    state: 'ready',
    revision: 7,
    freshnessMilliseconds: -1,
    partitions: ['home/balances'],
  };
  const server = new Server();
  server.addService(authenticateDefinition(StatusService, FLEET_SECRET), {
    readStatus: (_call: unknown, callback: (error: null, value: typeof status) => void) =>
      callback(null, status),
  });
  const port = await new Promise<number>((resolve, reject) => {
    server.bindAsync('127.0.0.1:0', ServerCredentials.createInsecure(), (error, bound) =>
      error === null ? resolve(bound) : reject(error),
    );
  });
  const authenticated = createNodeClients(FLEET_SECRET);
  const unauthenticated = createNodeClients('another-secret-of-a-fleet');
  test.teardown(() => {
    [authenticated, unauthenticated].forEach((clients) => clients.close());
    server.forceShutdown();
  });
  test.same(await authenticated.readStatus(`127.0.0.1:${port}`), { ok: true, value: status });
  test.match(await unauthenticated.readStatus(`127.0.0.1:${port}`), { ok: false });
});
