import { parseNodeSettings } from '@buckthornslip/config';
import t from 'tap';

const SECRET = 'test-only-secret-of-the-fleet';

const valid = `
host = "riga-a-1"
region = "riga"
zone = "riga-a"
seeds = ["127.0.0.2:8073"]
[listeners]
callers = "127.0.0.1:8070"
outgoing = "127.0.0.1:8071"
peers = "127.0.0.1:8072"
control = "127.0.0.1:8073"
admin = "[::1]:8074"
[store]
endpoints = ["127.0.0.1:2379"]
`;

function noFile(): string {
  throw new Error('no such file');
}

function issuePaths(text: string, environment: Record<string, string> = {}): readonly string[] {
  const parsed = parseNodeSettings(text, environment, noFile);
  return parsed.ok ? [] : parsed.error.map(({ path }) => path);
}

void t.test(
  'settings get their defaults and the fleet secret from the environment',
  async (test) => {
    const parsed = parseNodeSettings(valid, { BUCKTHORNSLIP_FLEET_SECRET: SECRET }, noFile);
    test.match(parsed, {
      ok: true,
      value: {
        fleetSecret: SECRET,
        freshnessLimitMilliseconds: 3000,
        logLevel: 'info',
        listeners: { admin: { address: '::1', port: 8074 } },
      },
    });
  },
);

void t.test(
  'the fleet secret may be read from a file, without its trailing newline',
  async (test) => {
    const parsed = parseNodeSettings(`fleet_secret_file = "s"\n${valid}`, {}, () => `${SECRET}\n`);
    test.equal(parsed.ok && parsed.value.fleetSecret, SECRET);
  },
);

void t.test(
  'a weak, missing or ambiguous fleet secret is rejected and does not appear in the issue',
  async (test) => {
    test.same(issuePaths(valid), ['BUCKTHORNSLIP_FLEET_SECRET']);
    test.same(issuePaths(`fleet_secret_file = "s"\n${valid}`), ['fleet_secret_file']);
    const both = `fleet_secret = "${SECRET}"\nfleet_secret_file = "s"\n${valid}`;
    test.same(issuePaths(both), ['fleet_secret']);
    const weak = parseNodeSettings(`fleet_secret = "fifteen-bytes-x"\n${valid}`, {}, noFile);
    test.match(weak, { ok: false, error: [{ path: 'fleet_secret' }] });
    test.notMatch(JSON.stringify(weak), 'fifteen-bytes-x');
  },
);

void t.test('listener addresses that other processes cannot use are rejected', async (test) => {
  const environment = { BUCKTHORNSLIP_FLEET_SECRET: SECRET };
  const change = (from: string, to: string): readonly string[] =>
    issuePaths(valid.replace(from, to), environment);
  test.same(change('127.0.0.1:8072', '0.0.0.0:8072'), ['listeners.peers']);
  test.same(change('127.0.0.1:8071', '10.0.0.1:8071'), ['listeners.outgoing']);
  test.same(change('127.0.0.1:8073', '127.0.0.1:8072'), ['listeners']);
  test.same(change('127.0.0.1:8073', 'localhost:8073'), ['listeners.control']);
});
