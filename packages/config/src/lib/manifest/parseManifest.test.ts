import { parseManifest } from '@buckthornslip/config';
import t from 'tap';

const valid = `
release = "2026.49"
[regions.riga]
zones = ["riga-a", "riga-b"]
[services.balances]
[services.subsidies]
queue_target_milliseconds = 40
[limits]
deadline_milliseconds = 900
[[routes]]
name = "read-balance"
service = "balances"
methods = ["GET"]
path_prefix = "/balances"
[[routes]]
name = "confirm-subsidy"
service = "subsidies"
methods = ["POST"]
path_prefix = "/subsidies"
priority = "critical"
deadline_milliseconds = 2000
[[accounts]]
id = "jelgava"
rate_per_second = 2.5
routes = ["read-balance"]
`;

function issuesOf(text: string): readonly string[] {
  const parsed = parseManifest(text);
  return parsed.ok ? [] : parsed.error.map(({ path, message }) => `${path}: ${message}`);
}

void t.test('a route with unsafe methods is not repeatable by default', async (test) => {
  const parsed = parseManifest(valid);
  if (!parsed.ok) throw new Error(JSON.stringify(parsed.error));
  const [read, confirm] = parsed.value.routes;
  test.match(read, { repeatable: true, deadlineMilliseconds: 900, access: 'keyed' });
  test.match(confirm, { repeatable: false, idempotencyKey: 'required', priority: 'critical' });
  test.equal(confirm?.deadlineMilliseconds, 2000, 'a route overrides [limits]');
  const [account] = [...parsed.value.accounts.values()];
  test.match(account, { burst: 3, whenIsolated: 'refuse' });
});

void t.test('one invalid entry does not hide the issues of others', async (test) => {
  const issues = issuesOf(`
release = "x"
colour = "red"
[regions.riga]
zones = ["a", "a"]
[services.balances]
[[routes]]
name = "all"
service = "balances"
path_prefix = "/balances"
[[routes]]
name = "all"
service = "nowhere"
methods = ["GET"]
path_prefix = "/balances/current"
[[routes]]
name = "bad"
service = "balances"
path_prefix = "/x/"
priority = "urgent"
[[accounts]]
id = "one"
rate_per_second = 0
[[accounts]]
id = "two"
rate_per_second = 1
routes = ["missing", "bad"]
`);
  const expected = [
    /^colour: unknown setting/,
    /^regions\.riga\.zones\[1\]: "a" is already used at regions\.riga\.zones\[0\]/,
    /^routes\[1\]\.name: "all" is already used at routes\[0\]\.name/,
    /^routes\[1\]\.service: unknown service "nowhere"/,
    /^routes\[1\]: route "all" is never reached/,
    /^routes\[2\]\.path_prefix: /,
    /^routes\[2\]\.priority: /,
    /^accounts\[0\]\.rate_per_second: the rate must be greater than 0/,
    /^accounts\[1\]\.routes\[0\]: unknown route "missing"/,
  ];
  test.equal(issues.length, expected.length, issues.join('\n'));
  expected.forEach((pattern) => test.ok(issues.some((issue) => pattern.test(issue))));
});

void t.test('a prefix covers whole path segments only', async (test) => {
  const withRoute = (path: string): string =>
    `${valid}\n[[routes]]\nname = "late"\nservice = "balances"\nmethods = ["GET"]\npath_prefix = "${path}"`;
  test.same(issuesOf(withRoute('/balances-archive')), []);
  test.match(issuesOf(withRoute('/balances/archive'))[0], /^routes\[2\]: .*never reached/);
});

void t.test('a syntax error is reported with its line', async (test) => {
  test.match(issuesOf('release = "x"\n[regions')[0], /^line 2, column \d+: /);
});

void t.test(
  'an empty manifest is rejected with an issue for each missing section',
  async (test) => {
    const paths = issuesOf('').map((issue) => issue.split(':')[0]);
    test.same(paths, ['release', 'regions', 'services', 'routes']);
  },
);
