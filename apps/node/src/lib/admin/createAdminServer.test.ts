import { reservePorts, sendRequest } from '@buckthornslip/app-standins';
import { createMetrics } from '@buckthornslip/telemetry';
import t from 'tap';

import { createAdminServer } from './createAdminServer';

void t.test('the admin listener serves metrics, liveness and readiness', async (test) => {
  const [port = 0] = await reservePorts(1);
  const metrics = createMetrics();
  metrics.countRefusal('account-rate', 'not-run');
  let reason: string | undefined = 'no configuration in force';
  const server = createAdminServer(metrics, { notReadyReason: () => reason });
  await server.listen({ address: '127.0.0.1', port });
  test.teardown(server.close);
  const read = async (path: string, method = 'GET') => {
    const { status, body } = await sendRequest({ address: `127.0.0.1:${port}`, path, method });
    return { status, text: body.toString('utf8') };
  };
  test.match(await read('/healthz'), { status: 200, text: 'ok' });
  test.match(await read('/readyz'), { status: 503, text: 'no configuration in force' });
  reason = undefined;
  test.match(await read('/readyz'), { status: 200, text: 'ready' });
  test.match(await read('/metrics'), { status: 200, text: 'buckthornslip_refusals_total' });
  test.match(await read('/unknown'), { status: 404 });
  test.match(await read('/metrics', 'POST'), { status: 405 });
});
