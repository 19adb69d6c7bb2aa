import { createHash, randomBytes } from 'node:crypto';

import type { DemoFleet } from './DemoFleet';
import type { DemoHost } from './DemoHost';
import { runCtl } from './runCtl';
import { startFleet } from './startFleet';
import { waitFor } from './waitFor';

const LIMIT_MILLISECONDS = 15_000;
const UPLOAD_BYTES = 4 * 1024 * 1024;

interface Row {
  readonly step: string;
  readonly result: string;
}

interface CallResponse {
  readonly status: number;
  readonly reason: string | null;
  readonly text: string;
}

async function call(host: DemoHost, path: string, options: RequestInit): Promise<CallResponse> {
  const response = await fetch(`http://127.0.0.1:${host.ports.callers}${path}`, options);
  const text = await response.text();
  return { status: response.status, reason: response.headers.get('buckthornslip-reason'), text };
}

function hostOf(fleet: DemoFleet, service: string, region: string): DemoHost {
  const found = fleet.hosts.find((host) => host.service === service && host.region === region);
  if (!found) throw new Error(`no host of ${service} in ${region}`);
  return found;
}

function check(isMet: boolean, message: string): void {
  if (!isMet) throw new Error(message);
}

async function countRuns(fleet: DemoFleet, service: string, key: string): Promise<number> {
  const hosts = fleet.hosts.filter((host) => host.service === service);
  const counts = await Promise.all(
    hosts.map(async (host) => {
      const response = await fetch(`http://${fleet.upstreamAddress(host)}/counters`);
      const counters = (await response.json()) as { readonly runs: Record<string, number> };
      return counters.runs[key] ?? 0;
    }),
  );
  return counts.reduce((sum, count) => sum + count, 0);
}

/** Publishes the manifest and grants a key to an account. */
async function configure(fleet: DemoFleet, rows: Row[]): Promise<{ key: string; keyId: string }> {
  const manifest = 'examples/auklu/manifest.toml';
  const start = performance.now();
  await runCtl(['manifest', 'publish', manifest, ...fleet.ctlOptions]);
  rows.push({
    step: 'manifest published and in force on all nodes',
    result: `${Math.round(performance.now() - start)} ms`,
  });
  const granted = await runCtl(['key', 'grant', 'riga-city', ...fleet.ctlOptions]);
  rows.push({ step: 'key granted', result: `key id ${String(granted.keyId)}` });
  return { key: String(granted.key), keyId: String(granted.keyId) };
}

async function sendCalls(fleet: DemoFleet, key: string, rows: Row[]): Promise<void> {
  const authorization = `Bearer ${key}`;
  const entry = hostOf(fleet, 'balances', 'riga');
  const remoteEntry = hostOf(fleet, 'balances', 'daugavpils');

  await waitFor('a statement is answered', LIMIT_MILLISECONDS, async () => {
    const response = await call(entry, '/statements/7', { headers: { authorization } });
    return response.status === 200;
  });
  rows.push({ step: 'GET /statements/7 through a node of balances', result: '200' });

  const refused = await call(entry, '/statements/7', {});
  check(refused.status === 401, `a call without key got ${refused.status}`);
  rows.push({ step: 'the same without a key', result: `${refused.status} ${refused.reason}` });

  const idempotencyKey = `confirmation-${randomBytes(4).toString('hex')}`;
  const confirmation = {
    method: 'POST',
    headers: { authorization, 'idempotency-key': idempotencyKey },
    body: 'subsidy 12',
  };
  await waitFor('a confirmation is answered', LIMIT_MILLISECONDS, async () => {
    const response = await call(entry, '/subsidies/confirmations', confirmation);
    return response.status === 200;
  });
  const repeated = await call(remoteEntry, '/subsidies/confirmations', confirmation);
  const runs = await countRuns(fleet, 'subsidies', idempotencyKey);
  check(runs === 1, `the confirmation ran ${runs} times`);
  rows.push({
    step: 'POST confirmation, repeated through the other region',
    result: `${repeated.status}, ran ${runs} time`,
  });

  const body = randomBytes(UPLOAD_BYTES);
  const upload = await call(entry, '/attendance/2026-12', {
    method: 'PUT',
    headers: { authorization },
    body,
  });
  const digest = createHash('sha256').update(body).digest('hex');
  check(upload.status === 200 && upload.text.includes(digest), `the upload got ${upload.status}`);
  rows.push({ step: 'PUT an upload of 4 MB', result: '200, digest matches' });
}

async function withdraw(fleet: DemoFleet, key: string, keyId: string, rows: Row[]): Promise<void> {
  const authorization = `Bearer ${key}`;
  const start = performance.now();
  await runCtl(['key', 'withdraw', keyId, ...fleet.ctlOptions]);
  const responses = await Promise.all(
    fleet.hosts.map((host) => call(host, '/statements/7', { headers: { authorization } })),
  );
  check(
    responses.every(({ status }) => status === 401),
    `after the withdrawal: ${responses.map(({ status }) => status).join(' ')}`,
  );
  rows.push({
    step: 'key withdrawn and refused by all nodes',
    result: `401 ${responses[0]?.reason}, ${Math.round(performance.now() - start)} ms`,
  });
}

async function runSteps(fleet: DemoFleet, rows: Row[]): Promise<void> {
  rows.push({ step: 'started', result: `store, ${fleet.hosts.length} nodes and upstreams` });
  const { key, keyId } = await configure(fleet, rows);
  await sendCalls(fleet, key, rows);
  await withdraw(fleet, key, keyId, rows);
  const failed = await fleet.stop();
  check(failed.length === 0, `did not stop gracefully: ${failed.join(', ')}`);
  rows.push({ step: 'all processes stopped gracefully', result: 'exit code 0' });
}

const rows: Row[] = [];
const logLines: string[] = [];
const fleet = await startFleet((line) => logLines.push(line));
try {
  await runSteps(fleet, rows);
} catch (error) {
  fleet.kill();
  process.stdout.write(`${logLines.slice(-40).join('\n')}\n`);
  process.stdout.write(`demonstration failed: ${String(error)}\n`);
  process.exitCode = 1;
}
const width = Math.max(...rows.map(({ step }) => step.length));
for (const { step, result } of rows) process.stdout.write(`${step.padEnd(width)}  ${result}\n`);
