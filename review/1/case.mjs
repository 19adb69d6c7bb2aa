import { Agent } from 'node:http';
import { setTimeout as sleep } from 'node:timers/promises';
import { fileURLToPath } from 'node:url';

import { answer } from '../lib/backend.mjs';
import { sendRequest } from '../lib/client.mjs';
import { createConfiguration, HOST, KEY } from '../lib/configuration.mjs';
import { hasTrouble, runCase } from '../lib/runCase.mjs';

const WORK_MILLISECONDS = 300;
const REQUESTS = 60;
const GAP_MILLISECONDS = 50;
const CUT_AFTER_REQUESTS = 30;
const CUT_MILLISECONDS = 3000;
const DEADLINE_MILLISECONDS = 8000;

const runs = new Map();

const serve = async (request, response, _body, machine) => {
  const id = request.headers['x-request-id'];
  runs.set(id, [...(runs.get(id) ?? []), machine]);
  await sleep(WORK_MILLISECONDS);
  answer(request, response, Buffer.from('settled'));
};

async function play({ machines, record }) {
  const [front, settlement] = machines;
  const agent = new Agent({ keepAlive: true });
  const statuses = new Map();
  const send = async (number) => {
    const id = `settle-${number}`;
    const { address } = front;
    const request = { address, agent, host: HOST, key: KEY, id, deadline: DEADLINE_MILLISECONDS };
    record(`client sends POST /settle/${number} as ${id}`);
    const { status } = await sendRequest({
      ...request,
      method: 'POST',
      path: `/settle/${number}`,
      body: 'subsidy',
    });
    statuses.set(id, status);
    record(`client gets ${status} for ${id}`);
  };

  const answers = [];
  let reconnected;
  for (let number = 1; number <= REQUESTS; number += 1) {
    answers.push(send(number));
    if (number === CUT_AFTER_REQUESTS && hasTrouble) {
      settlement.setCut(true);
      reconnected = sleep(CUT_MILLISECONDS).then(() => settlement.setCut(false));
    }
    await sleep(GAP_MILLISECONDS);
  }
  await Promise.all([...answers, reconnected]);
  await sleep(1000);
  agent.destroy();

  const succeeded = [...statuses.values()].filter((status) => status === 200).length;
  record(`${succeeded} of ${REQUESTS} requests were answered with 200`);
  if (succeeded < CUT_AFTER_REQUESTS / 2) return undefined;
  const twice = [...runs]
    .filter(([, places]) => places.length > 1)
    .map(([id, places]) => `TWICE: ${id} ran on machines ${places.join(' and ')}`);
  const promised = [...statuses]
    .filter(([id, status]) => [408, 421, 429, 503].includes(status) && runs.has(id))
    .map(([id, status]) => `REFUSED: ${id} was answered ${status} and has run`);
  return [...twice, ...promised];
}

const route = { name: 'r-settle', prefix: '/settle/', type: 'non_idempotent', timeout: '4000ms' };
await runCase({
  folder: fileURLToPath(new URL('.', import.meta.url)),
  machines: [
    { service: 'front', run: serve },
    { service: 'settlement', run: serve },
    { service: 'settlement', run: serve },
    { service: 'front', run: serve },
  ],
  configuration: createConfiguration({
    routes: [{ ...route, service: 'settlement' }],
    services: ['front', 'settlement'],
  }),
  play,
});
