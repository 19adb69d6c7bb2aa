import { failure, success } from '@buckthornslip/common';
import type { ConfigurationStore } from '@buckthornslip/distribution';
import { NEVER } from 'rxjs';
import t from 'tap';

import { createCommandClock } from './environment/createCommandClock';
import type { CtlEnvironment } from './environment/CtlEnvironment';
import { runCtl } from './runCtl';

const MANIFEST = `release = "1"
[regions.riga]
zones = ["riga-a"]
[regions.daugavpils]
zones = ["daugavpils-a"]
[services.balances]
[[routes]]
name = "read-balances"
service = "balances"
methods = ["GET"]
path_prefix = "/balances"
[[accounts]]
id = "jelgava"
rate_per_second = 1
`;

function createStore(state: { isDown: boolean }): ConfigurationStore {
  const values = new Map<string, { key: string; value: Uint8Array; revision: number }>();
  let revision = 0;
  const change = (key: string, expected: number, value?: Uint8Array) => {
    if (state.isDown) return failure({ kind: 'timeout' });
    if ((values.get(key)?.revision ?? 0) !== expected) return failure({ kind: 'conflict' });
    revision += 1;
    if (value === undefined) values.delete(key);
    else values.set(key, { key, value, revision });
    return success(revision);
  };
  const read = <Value>(value: Value) =>
    Promise.resolve(state.isDown ? failure({ kind: 'unavailable' }) : success(value));
  return {
    get: (key) => read(values.get(key)),
    list: (prefix) => read([...values.values()].filter(({ key }) => key.startsWith(prefix))),
    compareAndSwap: (key, expected, value) => Promise.resolve(change(key, expected, value)),
    remove: (key, expected) => Promise.resolve(change(key, expected)),
    watch: () => NEVER,
  };
}

/** Creates a ctl with an in-memory store and one zone contact per region; requests to silent nodes fail. */
async function createTestCtl() {
  const state = { isDown: false, silentNodes: new Set<string>() };
  const files = new Map([
    ['manifest.toml', MANIFEST],
    ['changed.toml', MANIFEST.replace('rate_per_second = 1', 'rate_per_second = 2')],
    ['broken.toml', MANIFEST.replace('service = "balances"', 'service = "other"')],
  ]);
  const store = createStore(state);
  for (const region of ['riga', 'daugavpils']) {
    const contact = { host: region, region, zone: `${region}-a`, controlAddress: `${region}:1` };
    const value = Buffer.from(JSON.stringify(contact));
    await store.compareAndSwap(`contacts/${region}-a/${region}`, 0, value);
  }
  const revisions = new Map<string, number>();
  const answer = <Value>(address: string, value: () => Value) =>
    Promise.resolve(
      state.silentNodes.has(address)
        ? failure({ kind: 'peer-failed' as const, reason: 'silent' })
        : success(value()),
    );
  const output: string[] = [];
  const errors: string[] = [];
  const environment: CtlEnvironment = {
    clock: createCommandClock(),
    variables: { BUCKTHORNSLIP_FLEET_SECRET: 'secret-of-the-test-fleet' },
    readFile: (path) => {
      const text = files.get(path);
      return text === undefined ? Promise.reject(new Error(path)) : Promise.resolve(text);
    },
    write: (line) => output.push(line),
    writeError: (line) => errors.push(line),
    createStore: () => ({ store, close: () => undefined }),
    createNodes: () => ({
      installRevision: (address, { head }) =>
        answer(address, () => {
          const parsed = JSON.parse(head?.head.toString() ?? '{}') as { revision: number };
          revisions.set(address, parsed.revision);
          return { revision: parsed.revision };
        }),
      readStatus: (address) =>
        answer(address, () => ({
          host: address,
          incarnation: 1,
          region: address.split(':')[0] ?? '',
          zone: 'zone',
          service: 'balances',
          state: 'ready',
          revision: revisions.get(address) ?? 0,
          freshnessMilliseconds: 20,
          partitions: ['home/balances'],
        })),
      close: () => undefined,
    }),
  };
  const run = async (line: string) => {
    output.length = 0;
    errors.length = 0;
    const exitCode = await runCtl(line.split(' '), environment);
    return { exitCode, output: output.join('\n'), errors: errors.join('\n') };
  };
  return { run, state };
}

void t.test('invalid input exits with 1 and reports every error', async (test) => {
  const { run } = await createTestCtl();
  test.match(await run('manifest check manifest.toml'), { exitCode: 0, output: /is valid/ });
  test.match(await run('manifest check broken.toml'), {
    exitCode: 1,
    errors: /routes\[0\]\.service: unknown service "other"/,
  });
  const lines = [
    'manifest check missing.toml',
    'manifest publish broken.toml --store s:1',
    'manifest publish manifest.toml',
    'manifest publish manifest.toml --store s:1 --require-revision x',
    'key grant nobody --store s:1',
    'key withdraw none --store s:1',
    'manifest',
    'unknown',
    'status',
    'status --nodes a:1 --fleet-secret-file missing',
  ];
  for (const line of lines) test.match(await run(line), { exitCode: 1, errors: /./ }, line);
});

void t.test('a manifest is published, shown and compared', async (test) => {
  const { run } = await createTestCtl();
  test.match(await run('manifest publish manifest.toml --store s:1'), {
    exitCode: 0,
    output: 'revision 1 is accepted\nin force on 2 of 2 nodes asked',
  });
  test.match(await run('manifest show --store s:1'), { output: /^# revision 1\nrelease = "1"/ });
  test.match(await run('manifest diff changed.toml --store s:1'), {
    exitCode: 0,
    output: '~ accounts.jelgava.ratePerSecond: 1 -> 2',
  });
  const stale = await run('manifest publish changed.toml --store s:1 --require-revision 0 --json');
  test.equal(stale.exitCode, 2);
  test.match(JSON.parse(stale.output), { status: 'conflict', currentRevision: 1, exitCode: 2 });
});

void t.test(
  'a key is shown only when it is granted, and a withdrawn key is listed as withdrawn',
  async (test) => {
    const { run } = await createTestCtl();
    await run('manifest publish manifest.toml --store s:1');
    const granted = JSON.parse((await run('key grant jelgava --store s:1 --json')).output) as {
      key: string;
      keyId: string;
    };
    test.equal(Buffer.from(granted.key, 'base64url').length, 32);
    const listed = await run('key list --store s:1');
    test.match(listed.output, `${granted.keyId}  jelgava  granted`);
    test.notMatch(listed.output, granted.key);
    test.match(await run(`key withdraw ${granted.keyId} --store s:1`), { exitCode: 0 });
    test.match(await run('key list --store s:1'), { output: /withdrawn/ });
  },
);

void t.test(
  'regions that do not confirm are reported, also when the command is repeated',
  async (test) => {
    const { run, state } = await createTestCtl();
    state.silentNodes.add('daugavpils:1');
    const line = 'manifest publish manifest.toml --store s:1 --wait-milliseconds 150';
    const expected = { exitCode: 4, output: /1 of 2 nodes.*\n.*regions: daugavpils$/ };
    test.match(await run(line), expected);
    test.match(await run(line), expected);
    test.match(await run('status --store s:1'), {
      exitCode: 3,
      output: '',
      errors:
        /riga:1\s+riga\s+zone\s+balances\s+ready\s+1\s+20 ms\s+home\/balances\n.*does not answer/,
    });
  },
);

void t.test('commands exit with 3 if the store does not respond', async (test) => {
  const { run, state } = await createTestCtl();
  state.isDown = true;
  test.match(await run('manifest publish manifest.toml --store s:1'), { exitCode: 3 });
  test.match(await run('key list --store s:1'), { exitCode: 3 });
  test.match(await run('status --store s:1'), { exitCode: 3 });
});
