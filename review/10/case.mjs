import { request as httpRequest } from 'node:http';
import { setTimeout as sleep } from 'node:timers/promises';

import { configurationOf } from '../harness-2/configuration.mjs';
import { runCase } from '../harness-2/fleet.mjs';

const KEY = 'key-of-tenant';

/** Bound of the small sites: time after which the system has recovered. */
const RECOVER_MS = 15_000;

const REQUESTS_MS = 8_000;
const GAP_MS = 100;

/** A kind of request must be served at least this often, compared with all requests. */
const LEAST_SHARE = 0.25;

const configuration = configurationOf(1, {
  routes: [
    { name: 'read', prefix: '/read/', service: 'records' },
    { name: 'issue', prefix: '/issue/', service: 'issuing' },
  ],
  services: ['front', 'records', 'issuing'],
  tenants: [{ name: 'tenant', apiKeys: [KEY], priority: 1, ratePerS: 0, burst: 0 }],
});

const work = async () => 'done';

/** Sends a heartbeat that names a service which no configuration has. */
function sendForeignHeartbeat(admin, record) {
  const [host, port] = admin.split(':');
  const body = {
    service: 'not-in-the-configuration',
    address: `${host}:9999`,
    zone: 'zone-a',
    version: 'v1',
    slots: 64,
    state: 'ready',
    warmupLeft: '0ms',
    seq: 1,
    born: Date.now(),
  };
  return new Promise((resolve, reject) => {
    const request = httpRequest(
      { host, port, method: 'POST', path: '/instances/i-other-writer/heartbeat', agent: false },
      (response) => {
        response.resume();
        record.write(`heartbeat of another writer: ${response.statusCode}`);
        resolve();
      },
    );
    request.once('error', reject);
    request.end(JSON.stringify(body));
  });
}

await runCase(import.meta.url, {
  hosts: [
    { zone: 'zone-a', service: 'front', work },
    { zone: 'zone-a', service: 'records', work },
    { zone: 'zone-b', service: 'issuing', work },
  ],
  configuration,
  run: async ({ hasTrouble, nodes, record, send }) => {
    const [entry, node] = nodes;
    const sendFor = async (durationMs) => {
      const kinds = { read: [], issue: [] };
      const endMs = performance.now() + durationMs;
      for (let index = 0; performance.now() < endMs; index += 1) {
        kinds.read.push(send({ to: entry.outbound, path: `/read/${index}`, key: KEY }));
        kinds.issue.push(send({ to: entry.outbound, path: `/issue/${index}`, key: KEY }));
        await sleep(GAP_MS);
      }
      const servedShare = async (calls) => {
        const answers = await Promise.all(calls);
        return answers.filter(({ status }) => status === 200).length / answers.length;
      };
      return { read: await servedShare(kinds.read), issue: await servedShare(kinds.issue) };
    };
    await sleep(2_000);
    const before = await sendFor(2_000);
    if (before.read < 1 || before.issue < 1) throw new Error('not all is served in calm');
    if (hasTrouble) await sendForeignHeartbeat(node.admin, record);
    await sleep(RECOVER_MS);
    const after = await sendFor(REQUESTS_MS);
    const all = (after.read + after.issue) / 2;
    const text = `of the requests sent more than ${RECOVER_MS / 1_000} s later, ${(after.read * 100).toFixed(0)} % of read and ${(after.issue * 100).toFixed(0)} % of issue were served`;
    record.write(text);
    return after.read < LEAST_SHARE * all ? `Starved: ${text}` : undefined;
  },
});
