import { Agent } from 'node:http';
import { setTimeout as sleep } from 'node:timers/promises';
import { fileURLToPath } from 'node:url';

import { answer } from '../lib/backend.mjs';
import { sendRequest } from '../lib/client.mjs';
import { createConfiguration, HOST, KEY } from '../lib/configuration.mjs';
import { hasTrouble, runCase } from '../lib/runCase.mjs';

const WORK_MILLISECONDS = 200;
const DEADLINE_MILLISECONDS = 5000;

/** A crashed backend is back so long after its crash. */
const RETURN_MILLISECONDS = 2000;

/** The request comes so often, with so long a pause. */
const POISON_REQUESTS = 14;
const POISON_GAP_MILLISECONDS = 2500;

/** Bound of the site. */
const STABLE_MILLISECONDS = 4000;

/** Retries that the rule allows. */
const ALLOWED_RETRIES = 3;

const crashes = [];
let machinesOfFleet = [];
let note = () => undefined;

const serve = async (request, response, _body, machine) => {
  const id = request.headers['x-request-id'];
  if (request.url === '/read/poison') {
    if (!hasTrouble) {
      answer(request, response, Buffer.from('read'));
      return;
    }
    crashes.push({ id, machine, time: performance.now() });
    note(`backend i-${machine} crashes on ${id}`);
    const { backend } = machinesOfFleet[machine - 1];
    backend.end();
    await sleep(RETURN_MILLISECONDS);
    await backend.start();
    return;
  }
  await sleep(WORK_MILLISECONDS);
  if (!response.destroyed) answer(request, response, Buffer.from('read'));
};

async function play({ machines, record }) {
  machinesOfFleet = machines;
  note = record;
  const agent = new Agent({ keepAlive: true });
  const results = [];
  const send = async (id, path, method = 'GET') => {
    const { status } = await sendRequest({
      address: machines[0].address,
      agent,
      host: HOST,
      key: KEY,
      id,
      deadline: DEADLINE_MILLISECONDS,
      method,
      path,
      body: method === 'POST' ? 'x' : undefined,
    });
    record(`client gets ${status} for ${id}`);
    results.push({ id, status });
  };
  const sent = [];
  let isSending = true;
  const others = (async () => {
    for (let number = 1; isSending; number += 1) {
      sent.push(send(`confirm-${number}`, `/confirm/${number}`, 'POST'));
      await sleep(50);
    }
  })();
  await sleep(4000);
  for (let number = 1; number <= POISON_REQUESTS; number += 1) {
    record(`client sends GET /read/poison as poison-${number}`);
    sent.push(send(`poison-${number}`, '/read/poison'));
    await sleep(POISON_GAP_MILLISECONDS);
  }
  isSending = false;
  await others;
  await Promise.all(sent);
  agent.destroy();
  const lost = results.filter(({ id, status }) => id.startsWith('confirm') && status !== 200);
  record(
    `${lost.length} of ${results.length - POISON_REQUESTS} other requests were not answered with 200`,
  );
  const third = crashes[2]?.time ?? Infinity;
  const seen = new Set();
  const retries = crashes.filter(({ id, time }) => {
    const isRetry = seen.has(id);
    seen.add(id);
    return isRetry && time > third + STABLE_MILLISECONDS;
  });
  record(`${retries.length} retries of the crashing request reached backends`);
  return retries.length > ALLOWED_RETRIES ? [`BUDGET: ${retries.length} retries`] : [];
}

const route = { name: 'r-read', prefix: '/read/', type: 'idempotent', timeout: '2000ms' };
const confirm = {
  name: 'r-confirm',
  prefix: '/confirm/',
  type: 'non_idempotent',
  timeout: '2000ms',
};
await runCase({
  folder: fileURLToPath(new URL('.', import.meta.url)),
  machines: [
    { service: 'front', run: serve },
    { service: 'gruppe', run: serve },
    { service: 'gruppe', run: serve },
    { service: 'gruppe', run: serve },
    { service: 'gruppe', run: serve },
  ],
  configuration: createConfiguration({
    routes: [
      { ...route, service: 'gruppe' },
      { ...confirm, service: 'gruppe' },
    ],
    services: ['front', 'gruppe'],
  }),
  play,
});
