import { Agent } from 'node:http';
import { setTimeout as sleep } from 'node:timers/promises';
import { fileURLToPath } from 'node:url';

import { answer } from '../lib/backend.mjs';
import { sendRequest } from '../lib/client.mjs';
import { createConfiguration, HOST, KEY } from '../lib/configuration.mjs';
import { hasTrouble, runCase } from '../lib/runCase.mjs';

const WORK_MILLISECONDS = 300;
const GAP_MILLISECONDS = 50;
const DEADLINE_MILLISECONDS = 6000;

/** The machine's node is started again so long after it was killed. */
const RESTART_MILLISECONDS = 300;

/** The heartbeat that was under way when the node was killed arrives so long after the leaving was acknowledged. */
const LATE_BEAT_MILLISECONDS = 2000;

/** The backend serves on for so long after the acknowledgement, and ends then. */
const SERVES_ON_MILLISECONDS = 7000;

/** Bounds of the site: `drain`, and `stableWindow`, after which the machine is in touch again. */
const DRAIN_MILLISECONDS = 2500;
const STABLE_MILLISECONDS = 4000;

const LEAVING_MACHINE = 2;
const runs = [];

const serve = async (request, response, _body, machine) => {
  runs.push({ id: request.headers['x-request-id'], machine, time: performance.now() });
  await sleep(WORK_MILLISECONDS);
  if (!response.destroyed) answer(request, response, Buffer.from('confirmed'));
};

async function waitUntilReady(machine) {
  for (let attempt = 0; attempt < 100; attempt += 1) {
    if (await machine.isReady()) return;
    await sleep(50);
  }
}

async function play({ machines, record }) {
  const [front, leaving] = machines;
  const { backend } = leaving;
  const agent = new Agent({ keepAlive: true });
  const statuses = new Map();
  let isSending = true;
  const sent = [];
  const send = async (number) => {
    const id = `confirm-${number}`;
    const { status } = await sendRequest({
      address: front.address,
      agent,
      host: HOST,
      key: KEY,
      id,
      deadline: DEADLINE_MILLISECONDS,
      method: 'POST',
      path: `/confirm/${number}`,
      body: 'draw',
    });
    statuses.set(id, status);
    record(`client gets ${status} for ${id}`);
  };
  const sendAll = async () => {
    for (let number = 1; isSending; number += 1) {
      sent.push(send(number));
      await sleep(GAP_MILLISECONDS);
    }
  };
  const sending = sendAll();
  await sleep(1000);

  backend.stopBeats();
  const lateBeat = backend.nextBeat();
  if (hasTrouble) {
    await leaving.kill();
    await sleep(RESTART_MILLISECONDS);
    await leaving.start(false);
  }
  const restarted = performance.now();
  await waitUntilReady(leaving);
  const status = await backend.deregister();
  const acknowledged = performance.now();
  record(`backend ${backend.id} deregisters: ${status}`);
  await sleep(LATE_BEAT_MILLISECONDS);
  record(`a heartbeat of ${backend.id} from before arrives: ${await backend.sendBeat(lateBeat)}`);
  await sleep(SERVES_ON_MILLISECONDS - LATE_BEAT_MILLISECONDS);
  record(`backend ${backend.id} ends`);
  const ended = performance.now();
  backend.end();
  await sleep(1000);
  isSending = false;
  await sending;
  await Promise.all(sent);
  agent.destroy();

  const succeeded = [...statuses.values()].filter((one) => one === 200).length;
  record(`${succeeded} of ${statuses.size} requests were answered with 200`);
  if (status !== 200 || succeeded < statuses.size / 4) return undefined;
  const from = Math.max(acknowledged + DRAIN_MILLISECONDS, restarted + STABLE_MILLISECONDS);
  const late = runs.filter(({ machine, time }) => machine === LEAVING_MACHINE && time > from);
  const cut = late.filter(({ id, time }) => time < ended && statuses.get(id) !== 200);
  cut.forEach(({ id }) => record(`${id} was cut off by the backend's end: ${statuses.get(id)}`));
  return late.map(({ id, time }) => {
    const seconds = ((time - acknowledged) / 1000).toFixed(2);
    return `DRAIN: ${id} reached the backend ${seconds} s after its leaving was acknowledged`;
  });
}

const route = { name: 'r-confirm', prefix: '/confirm/', type: 'non_idempotent', timeout: '2000ms' };
await runCase({
  folder: fileURLToPath(new URL('.', import.meta.url)),
  machines: [
    { service: 'front', run: serve },
    { service: 'trekning', run: serve },
    { service: 'trekning', run: serve },
    { service: 'trekning', run: serve },
  ],
  configuration: createConfiguration({
    routes: [{ ...route, service: 'trekning' }],
    services: ['front', 'trekning'],
  }),
  play,
});
