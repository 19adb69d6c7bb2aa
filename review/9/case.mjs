import { Agent, request as httpRequest } from 'node:http';
import { setTimeout as sleep } from 'node:timers/promises';

import { configurationOf } from '../harness-2/configuration.mjs';
import { runCase } from '../harness-2/fleet.mjs';

const KEY = 'key-of-tenant';

/** Bounds of the small sites: the platform ends a process with SIGKILL after this time. */
const GRACE_MS = 6_000;

/** From the start of the long request to the SIGTERM. */
const BEFORE_STOP_MS = 300;

/** A request sent later than this after the SIGTERM may not be cut off because its back end is still at work. */
const EXCUSED_MS = 3_000;

const LONG_MS = 7_000;
const DEADLINE_MS = 8_000;
const CALL_MS = 1_200;

/** The back end makes some calls at the same time. */
const CALL_GAP_MS = 150;

const configuration = configurationOf(1, {
  routes: [
    { name: 'issue', prefix: '/issue/', service: 'issuing', timeout: '8s' },
    {
      name: 'book',
      prefix: '/book/',
      service: 'ledger',
      timeout: '2s',
      type: 'non_idempotent',
      public: true,
    },
  ],
  services: ['issuing', 'ledger'],
  tenants: [{ name: 'tenant', apiKeys: [KEY], priority: 1, ratePerS: 0, burst: 0 }],
});

/** The calls that the back end of the long request has made. */
const calls = [];
const callAgent = new Agent({ keepAlive: true });
let record;

/** Makes a call through the node beside the back end, as part of the request that it runs. */
function callLedger(node, id, remainingMs) {
  const [host, port] = node.outbound.split(':');
  const call = { id, sentMs: performance.now(), status: undefined, error: undefined };
  calls.push(call);
  record.write(`back end calls ${id}`);
  return new Promise((resolve) => {
    const end = (status, error) => {
      Object.assign(call, { status, error, endedMs: performance.now() });
      record.write(`back end gets ${id} ${status} ${error ?? ''}`.trimEnd());
      resolve(status);
    };
    const request = httpRequest(
      {
        host,
        port,
        method: 'POST',
        path: `/book/${id}`,
        agent: callAgent,
        headers: {
          Host: 'calls.example',
          'X-Request-Id': id,
          'X-Deadline-Ms': String(Math.round(remainingMs)),
          'Content-Length': 0,
        },
      },
      (response) => {
        response.resume();
        response.once('error', (error) => end(0, error.code));
        response.once('end', () => end(response.statusCode));
      },
    );
    request.once('error', (error) => end(0, error.code));
    request.end();
  });
}

async function issue({ node, request }) {
  const startedMs = performance.now();
  const elapsedMs = () => performance.now() - startedMs;
  const deadlineMs = Number(request.headers['x-deadline-ms']);
  const answers = [];
  for (let index = 1; elapsedMs() < LONG_MS; index += 1) {
    answers.push(callLedger(node, `call-${index}`, deadlineMs - elapsedMs()));
    await sleep(CALL_GAP_MS);
  }
  await Promise.all(answers);
  return 'issued';
}

async function book() {
  await sleep(CALL_MS);
  return 'booked';
}

await runCase(import.meta.url, {
  hosts: [
    { zone: 'zone-a', service: 'issuing', work: issue },
    { zone: 'zone-b', service: 'ledger', work: book },
    { zone: 'zone-c', service: 'ledger', work: book },
  ],
  configuration,
  run: async ({ hasTrouble, nodes, record: written, runs, send }) => {
    record = written;
    const [stopped] = nodes;
    await sleep(3_000);
    const long = send({
      to: stopped.outbound,
      path: '/issue/1',
      key: KEY,
      deadlineMs: DEADLINE_MS,
    });
    await sleep(BEFORE_STOP_MS);
    const stoppedMs = performance.now();
    if (hasTrouble) {
      stopped.signal('SIGTERM');
      const killer = setTimeout(() => stopped.isRunning() && stopped.signal('SIGKILL'), GRACE_MS);
      await stopped.whenEnded();
      clearTimeout(killer);
      record.write(`it ended ${Math.round(performance.now() - stoppedMs)} ms after the SIGTERM`);
    }
    await long;
    const ran = new Set(runs.map(({ id }) => id));
    if (calls.length === 0 || !ran.has('call-1')) throw new Error('no calls were made');
    const cut = calls.filter(
      ({ id, sentMs, status }) =>
        status === 0 && ran.has(id) && sentMs > stoppedMs + EXCUSED_MS && hasTrouble,
    );
    if (cut.length === 0) return undefined;
    const [{ endedMs, id, sentMs }] = cut;
    return `LOST: ${cut.length} calls, the first, ${id}, sent ${Math.round(sentMs - stoppedMs)} ms after the SIGTERM, ran and ended without an answer ${Math.round(endedMs - stoppedMs)} ms after the SIGTERM`;
  },
});
