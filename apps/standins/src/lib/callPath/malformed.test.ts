import t from 'tap';

import { defaultHttpLimits } from '@buckthornslip/calls';

import { sendRaw } from '../http/sendRaw';
import { startTestCluster } from '../node/startTestCluster';

const limits = { ...defaultHttpLimits, headMilliseconds: 300, bodyIdleMilliseconds: 300 };

function head(key: string, lines: readonly string[], first = 'POST /statements HTTP/1.1'): string {
  return [first, 'Host: node', `Authorization: Bearer ${key}`, ...lines, '', ''].join('\r\n');
}

const smuggled = 'GET /statements/smuggled HTTP/1.1\r\nHost: node\r\n\r\n';

const cases: Readonly<Record<string, readonly [readonly string[], string, string?]>> = {
  'two lengths': [['Content-Length: 4', 'Content-Length: 5'], 'abcde'],
  'equal lengths twice': [['Content-Length: 4', 'Content-Length: 4'], 'abcd'],
  'length list': [['Content-Length: 4, 4'], 'abcd'],
  'signed length': [['Content-Length: +4'], 'abcd'],
  'length and chunked': [
    ['Content-Length: 4', 'Transfer-Encoding: chunked'],
    `0\r\n\r\n${smuggled}`,
  ],
  'chunked and length': [
    ['Transfer-Encoding: chunked', 'Content-Length: 4'],
    `0\r\n\r\n${smuggled}`,
  ],
  'two codings': [['Transfer-Encoding: gzip, chunked'], '0\r\n\r\n'],
  'coding twice': [['Transfer-Encoding: chunked', 'Transfer-Encoding: identity'], '0\r\n\r\n'],
  'coding with other case': [['Transfer-Encoding: xchunked'], '0\r\n\r\n'],
  'space before colon': [['Transfer-Encoding : chunked'], '0\r\n\r\n'],
  'folded line': [['X-A: 1', ' Transfer-Encoding: chunked'], '0\r\n\r\n'],
  'bare carriage return in a value': [['X-A: 1\rX-B: 2'], ''],
  'zero byte in a value': [['X-A: 1\u0000'], ''],
  'bad chunk size': [['Transfer-Encoding: chunked'], `1;\nx\r\n0\r\n\r\n${smuggled}`],
  'two hosts': [['Host: other'], ''],
  'two keys': [['Authorization: Bearer other'], ''],
  'head over its limit': [[`X-A: ${'a'.repeat(20_000)}`], ''],
  'absolute target': [[], '', 'GET http://other/statements HTTP/1.1'],
  'encoded slash': [[], '', 'GET /statements%2fx HTTP/1.1'],
  backslash: [[], '', 'GET /statements\\..\\x HTTP/1.1'],
  fragment: [[], '', 'GET /statements#x HTTP/1.1'],
  upgrade: [['Connection: Upgrade', 'Upgrade: h2c'], '', 'GET /statements HTTP/1.1'],
  connect: [[], '', 'CONNECT other:80 HTTP/1.1'],
};

void t.test(
  'malformed requests are refused and no part of them reaches the upstream',
  async (test) => {
    const cluster = await startTestCluster({ upstreams: [{}], node: { limits } });
    test.teardown(cluster.close);
    const address = cluster.nodes[0]?.callerAddress() ?? '';
    for (const [name, [lines, body, first]] of Object.entries(cases)) {
      const { text } = await sendRaw(address, [head(cluster.key, lines, first) + body], 400);
      test.match(text, /^HTTP\/1\.1 4\d\d /, name);
      test.equal(text.split('HTTP/1.1 ').length, 2, `${name}: one response`);
    }
    test.equal(cluster.upstreams[0]?.counters().started, 0);
  },
);

void t.test('slow senders are disconnected', async (test) => {
  const cluster = await startTestCluster({ upstreams: [{}], node: { limits } });
  test.teardown(cluster.close);
  const address = cluster.nodes[0]?.callerAddress() ?? '';
  const slowHead = await sendRaw(address, ['POST /statements HTTP/1.1\r\nHost: node\r\n'], 2_500);
  test.match(slowHead.text, '408', 'head');
  test.not(slowHead.end, 'open');
  for (const length of [100, 200_000]) {
    const sent = head(cluster.key, [`Content-Length: ${length}`]);
    const slowBody = await sendRaw(address, [sent, 'a'], 3_000);
    test.match(slowBody.text, '408', `body of ${length} bytes`);
    test.match(slowBody.text, 'request-timeout');
    test.not(slowBody.end, 'open');
  }
});

void t.test(
  'a second request on a connection is parsed from the end of the first',
  async (test) => {
    const cluster = await startTestCluster({ upstreams: [{}] });
    test.teardown(cluster.close);
    const one = head(cluster.key, ['Content-Length: 4']);
    const { text } = await sendRaw(
      cluster.nodes[0]?.callerAddress() ?? '',
      [`${one}abcd${one}efgh`],
      500,
    );
    test.equal(text.split('HTTP/1.1 200').length, 3);
  },
);
