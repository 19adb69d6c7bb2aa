import { request as httpRequest } from 'node:http';

import t from 'tap';

import { startTestCluster } from '../node/startTestCluster';

for (const upstreams of [[{}], [undefined, {}]]) {
  void t.test(
    `keys and forged headers are not forwarded to upstreams, ${upstreams.length} node(s)`,
    async (test) => {
      const seen: string[] = [];
      const observed = upstreams.map(
        (upstream) =>
          upstream && {
            observe: (request: import('node:http').IncomingMessage) => {
              seen.push(...request.rawHeaders);
              request.once('end', () => seen.push(...request.rawTrailers));
            },
          },
      );
      const cluster = await startTestCluster({ upstreams: observed });
      test.teardown(cluster.close);
      const { key } = cluster;
      const address = cluster.nodes[0]?.callerAddress() ?? '';
      const [host, port] = address.split(':');
      const basic = Buffer.from(`user:${key}`).toString('base64');
      const request = httpRequest({
        host,
        port,
        method: 'POST',
        path: '/statements',
        headers: {
          Authorization: `Bearer ${key}`,
          'Proxy-Authorization': `Bearer ${key}`,
          'X-Api-Key': key,
          'X-Basic': basic,
          'X-Encoded': encodeURIComponent(key),
          Cookie: `session=${key}; other=1`,
          [`X-${key}`]: 'name',
          Connection: 'keep-alive, X-Hop',
          'X-Hop': 'hop',
          'Keep-Alive': 'timeout=5',
          'Buckthornslip-Account': 'forged-account',
          'Buckthornslip-Context': 'forged-context',
          'Buckthornslip-Attempt': 'forged-attempt',
          'Transfer-Encoding': 'chunked',
          Trailer: 'X-Trailer',
          'X-Kept': 'kept',
        },
      });
      request.addTrailers({ 'X-Trailer': key });
      const status = await new Promise<number | undefined>((resolve, reject) => {
        request.once('error', reject);
        request.once('response', (response) => {
          response.resume().once('end', () => resolve(response.statusCode));
        });
        request.end('body');
      });
      test.equal(status, 200);
      const text = seen.join('\n').toLowerCase();
      test.match(text, 'x-kept', 'end-to-end headers are forwarded');
      const forbidden = [key, basic, 'authorization', 'forged-', 'x-hop', 'x-trailer', 'cookie'];
      for (const part of forbidden) test.notMatch(text, part.toLowerCase(), part);
    },
  );
}
