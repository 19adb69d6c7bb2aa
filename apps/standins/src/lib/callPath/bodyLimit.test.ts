import t from 'tap';

import { patternChunks } from '../http/patternBytes';
import { sendRequest } from '../http/sendRequest';
import { createTestManifest } from '../node/createTestManifest';
import { startTestCluster } from '../node/startTestCluster';

for (const bodyLimitBytes of [1_000, 100_000]) {
  void t.test(`bodies above ${bodyLimitBytes} bytes get status 413`, async (test) => {
    const manifest = createTestManifest([{ bodyLimitBytes }]);
    const cluster = await startTestCluster({ manifest, upstreams: [undefined, {}] });
    test.teardown(cluster.close);
    const address = cluster.nodes[0]?.callerAddress() ?? '';
    const authorization = `Bearer ${cluster.key}`;
    const body = Buffer.concat([...patternChunks(bodyLimitBytes + 1)]);
    for (const coding of [{}, { 'transfer-encoding': 'chunked' }]) {
      const headers = { authorization, ...coding };
      const sent = { address, method: 'POST', path: '/statements', headers };
      const tooLarge = await sendRequest({ ...sent, body });
      test.equal(tooLarge.status, 413);
      test.equal(tooLarge.headers['buckthornslip-reason'], 'body-too-large');
      const fitting = await sendRequest({ ...sent, body: body.subarray(1) });
      test.equal(fitting.status, 200);
    }
  });
}
