import { configurationOf } from '../harness-2/configuration.mjs';
import { runCase } from '../harness-2/fleet.mjs';
import { createHeartbeatProxy } from '../harness-2/heartbeatProxy.mjs';

const KEY = 'key-of-tenant';

/** Bounds of the small sites. */
const DRAIN_MS = 2_500;
const STABLE_WINDOW_MS = 4_000;

/** How late one heartbeat of the leaving back end arrives. */
const LATE_MS = 5_000;

/** The back end waits a second for the acknowledgement of each heartbeat. */
const UNACKNOWLEDGED_MS = 1_100;

/** From the acknowledgement to the kill, and from the kill to the start of the processes. */
const UNTIL_KILL_MS = 300;
const DOWN_MS = 700;

const REQUESTS_MS = 4_000;
const GAP_MS = 50;

const configuration = configurationOf(1, {
  routes: [{ name: 'read', prefix: '/read/', service: 'reads' }],
  services: ['front', 'reads'],
  tenants: [{ name: 'tenant', apiKeys: [KEY], priority: 1, ratePerS: 0, burst: 0 }],
});

const work = async () => 'done';
const hosts = [
  { zone: 'zone-a', service: 'front', work },
  { zone: 'zone-a', service: 'reads', work },
  { zone: 'zone-b', service: 'front', work },
  { zone: 'zone-b', service: 'reads', work },
];

await runCase(import.meta.url, {
  hosts,
  configuration,
  run: async ({ backEnds, hasTrouble, nodes, record, runs, send, sleep, waitUntilReady }) => {
    const entries = [nodes[0], nodes[2]];
    const leaving = backEnds[1];
    const proxy = await createHeartbeatProxy(nodes[1].admin, record);
    leaving.setAdmin(proxy.address);
    const sendFor = async (durationMs) => {
      const answers = [];
      const endMs = performance.now() + durationMs;
      for (let index = 0; performance.now() < endMs; index += 1) {
        answers.push(send({ to: entries[index % 2].outbound, path: `/read/${index}`, key: KEY }));
        await sleep(GAP_MS);
      }
      return Promise.all(answers);
    };
    const before = await sendFor(REQUESTS_MS);
    if (!before.some(({ status }) => status === 200)) throw new Error('nothing was served');
    if (!runs.some(({ backEnd }) => backEnd === leaving.id)) throw new Error('unused back end');

    proxy.setHoldMs(LATE_MS);
    record.write('a heartbeat of the back end will be late');
    leaving.stopHeartbeats();
    void leaving.sendHeartbeat('ready');
    await sleep(UNACKNOWLEDGED_MS);
    proxy.setHoldMs(0);
    if (!(await leaving.deregister())) throw new Error('the departure was not acknowledged');
    const acknowledgedMs = performance.now();
    record.write(`departure of ${leaving.id} acknowledged`);
    await sleep(UNTIL_KILL_MS);
    if (hasTrouble) {
      nodes.forEach((node) => node.signal('SIGKILL'));
      await Promise.all(nodes.map((node) => node.whenEnded()));
    }
    await sleep(DOWN_MS);
    if (hasTrouble) await Promise.all(nodes.map((node) => node.start()));
    const startedMs = performance.now();
    await waitUntilReady();
    const inTouchMs = startedMs + STABLE_WINDOW_MS + 200;
    await sleep(Math.max(0, inTouchMs - performance.now()));
    record.write('all machines are in touch');
    const after = await sendFor(REQUESTS_MS);
    const sentMsOf = new Map(after.map(({ id, sentMs }) => [id, sentMs]));
    const late = runs.filter(
      ({ backEnd, id }) => backEnd === leaving.id && sentMsOf.get(id) > acknowledgedMs + DRAIN_MS,
    );
    if (late.length === 0) return undefined;
    const latestMs = Math.round(late.at(-1).atMs - acknowledgedMs);
    return `DRAIN: ${late.length} of ${after.length} requests ran at ${leaving.id}, the last one ${latestMs} ms after its departure was acknowledged`;
  },
});
