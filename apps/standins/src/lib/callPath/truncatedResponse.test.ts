import t from 'tap';

import { sendRaw } from '../http/sendRaw';
import { sendRequest } from '../http/sendRequest';
import { startTestCluster } from '../node/startTestCluster';

for (const upstreams of [[{}], [undefined, {}]]) {
  for (const path of ['/statements', '/statements?bytes=300000']) {
    void t.test(
      `a truncated response is an error: ${path}, ${upstreams.length} node(s)`,
      async (test) => {
        const cluster = await startTestCluster({ upstreams });
        test.teardown(cluster.close);
        cluster.upstreams.at(-1)?.setFaults({ truncate: true });
        const address = cluster.nodes[0]?.callerAddress() ?? '';
        const headers = { authorization: `Bearer ${cluster.key}` };
        await test.rejects(sendRequest({ address, method: 'GET', path, headers }));
      },
    );
  }
}

void t.test(
  'an HTTP/1.0 caller, to whom the end of the connection is the end of the body, gets a reset',
  async (test) => {
    const cluster = await startTestCluster({ upstreams: [{}] });
    test.teardown(cluster.close);
    cluster.upstreams[0]?.setFaults({ truncate: true });
    const head = `GET /statements?bytes=300000 HTTP/1.0\r\nAuthorization: Bearer ${cluster.key}\r\n\r\n`;
    const { end } = await sendRaw(cluster.nodes[0]?.callerAddress() ?? '', [head]);
    test.equal(end, 'error');
  },
);
