import { spawn } from 'node:child_process';
import { once } from 'node:events';
import { createWriteStream } from 'node:fs';
import { mkdtemp, rm, writeFile } from 'node:fs/promises';
import { Agent, request as httpRequest } from 'node:http';
import { createServer } from 'node:net';
import { tmpdir } from 'node:os';
import { dirname, join } from 'node:path';
import { setTimeout as sleep } from 'node:timers/promises';
import { fileURLToPath } from 'node:url';

import { createBackEnd } from './backEnd.mjs';
import { bounds, ports, readRunLine, renderSettings } from './settings.mjs';

/** A case that lasts longer has failed to run. */
const LONGEST_MS = 115_000;

const CASE_BROKEN = 1;
const CASE_IMPOSSIBLE = 2;

async function isFree(address, port) {
  const server = createServer();
  try {
    server.listen(port, address);
    await once(server, 'listening');
    return true;
  } catch {
    return false;
  } finally {
    server.close();
  }
}

/** Returns the first three octets of loopback addresses that no other run uses. */
async function findNetwork() {
  for (let attempts = 0; attempts < 50; attempts += 1) {
    const octets = [64 + Math.floor(Math.random() * 128), 1 + Math.floor(Math.random() * 250)];
    const network = `127.${octets.join('.')}`;
    if (await isFree(`${network}.1`, ports.outbound)) return network;
  }
  throw new Error('no free loopback network');
}

/** Appends lines with the time since the start, in milliseconds. */
function createRecord(path) {
  const startedMs = performance.now();
  const stream = createWriteStream(path);
  return {
    write: (text) => {
      stream.write(`${(performance.now() - startedMs).toFixed(0).padStart(7)} ${text}\n`);
    },
    close: () =>
      new Promise((resolve) => {
        stream.end(resolve);
      }),
  };
}

/** Creates the process of one node, which can be started, signalled and started again. */
function createNode({ directory, fields, record, runLine }) {
  const { nodeId } = fields;
  const settingsPath = join(directory, `${nodeId}.toml`);
  let child;
  let bootstrap = true;
  return {
    id: nodeId,
    zone: fields.zone,
    outbound: fields.bind.outbound,
    admin: fields.bind.admin,
    readiness: fields.bind.readiness,
    start: async () => {
      await writeFile(settingsPath, await renderSettings({ ...fields, bootstrap }));
      bootstrap = false;
      const [program, ...words] = runLine;
      child = spawn(program === 'node' ? process.execPath : program, words, {
        env: { PATH: process.env.PATH, HOME: directory, BUCKTHORNSLIP_BOOT: settingsPath },
        stdio: ['ignore', 'pipe', 'inherit'],
      });
      const log = createWriteStream(join(directory, `${nodeId}.log`), { flags: 'a' });
      child.stdout.pipe(log);
      record.write(`node ${nodeId} started, process ${child.pid}`);
    },
    signal: (name) => {
      record.write(`node ${nodeId} gets ${name}`);
      child.kill(name);
    },
    pid: () => child.pid,
    isRunning: () => child !== undefined && child.exitCode === null && child.signalCode === null,
    whenEnded: async () => {
      if (child.exitCode === null && child.signalCode === null) await once(child, 'exit');
      record.write(`node ${nodeId} has ended`);
    },
    end: () => {
      if (child && child.exitCode === null && child.signalCode === null) child.kill('SIGKILL');
    },
  };
}

/**
 * Sends one client attempt.
 *
 * @returns status (0: no complete answer), headers, body, and whether the connection was refused.
 */
function sendAttempt({ agent, body, headers, method, path, to }) {
  const [host, port] = to.split(':');
  return new Promise((resolve) => {
    const request = httpRequest({ host, port, path, method, agent, headers }, (response) => {
      const chunks = [];
      response.on('data', (chunk) => chunks.push(chunk));
      response.once('error', () => resolve({ status: 0, headers: response.headers, body: '' }));
      response.once('end', () =>
        resolve({
          status: response.complete ? response.statusCode : 0,
          headers: response.headers,
          body: Buffer.concat(chunks).toString('utf8'),
        }),
      );
    });
    request.once('error', (error) =>
      resolve({ status: 0, headers: {}, body: '', error: error.code ?? error.message }),
    );
    request.end(body);
  });
}

/** Starts a store, nodes and back ends as the case describes, runs it and exits with its result. */
export async function runCase(caseUrl, { hosts, configuration, run }) {
  const caseDirectory = dirname(fileURLToPath(caseUrl));
  process.chdir(join(caseDirectory, '../..'));
  const record = createRecord(join(caseDirectory, 'record.txt'));
  const hasTrouble = process.env.TROUBLE !== '0';
  record.write(hasTrouble ? 'with the disruption' : 'without the disruption');
  const directory = await mkdtemp(join(tmpdir(), 'buckthornslip-review-'));
  const nodes = [];
  const backEnds = [];
  const runs = [];
  const agent = new Agent({ keepAlive: true, maxSockets: 256 });
  let store;
  let nextId = 0;

  const finish = async (code, text) => {
    record.write(text);
    nodes.forEach((node) => node.end());
    await Promise.all(nodes.filter((node) => node.isRunning()).map((node) => node.whenEnded()));
    backEnds.forEach((backEnd) => backEnd.close());
    store?.close();
    agent.destroy();
    await record.close();
    if (process.env.KEEP_LOGS === undefined) await rm(directory, { recursive: true });
    else process.stderr.write(`logs: ${directory}\n`);
    process.stdout.write(`${text}\n`);
    // Requests that were never answered would keep the process alive.
    // eslint-disable-next-line n/no-process-exit -- the case has ended, and its caller waits for the result
    process.exit(code);
  };
  // Ends the nodes as well if the case itself is ended or fails unexpectedly.
  process.once('exit', () => nodes.forEach((node) => node.end()));
  ['SIGINT', 'SIGTERM'].forEach((name) =>
    process.once(name, () => {
      void finish(CASE_IMPOSSIBLE, `the case was ended by ${name}`);
    }),
  );
  setTimeout(() => {
    void finish(CASE_IMPOSSIBLE, 'the case took too long');
  }, LONGEST_MS).unref();

  try {
    const { createFakeStoreServer, createSystemClock } = await import(
      join(process.cwd(), 'target/review-2/store.mjs')
    );
    store = createFakeStoreServer(createSystemClock());
    const storeAddress = await store.listen();
    let configRevision = 0;
    const publish = async (next) => {
      const bytes = Buffer.from(JSON.stringify(next));
      const written = await store.store.compareAndSwap('op/config', configRevision, bytes);
      if (!written.ok) throw new Error(`the store refused ${next.version}`);
      configRevision = written.value;
      record.write(`operator: ${next.version} acknowledged by the store`);
      return performance.now();
    };
    await publish(configuration);

    const network = await findNetwork();
    const runLine = await readRunLine();
    for (const [index, { region = 'region', service, slots, work, zone }] of hosts.entries()) {
      const ip = `${network}.${index + 1}`;
      const bind = Object.fromEntries(
        ['inbound', 'outbound', 'readiness', 'admin'].map((name) => [name, `${ip}:${ports[name]}`]),
      );
      const fields = {
        nodeId: `sidecar-${zone}-${index + 1}`,
        region,
        zone,
        service,
        heartbeat: '1500ms',
        bind,
        ip,
        bounds,
        platform: { address: storeAddress },
      };
      const node = createNode({ directory, fields, record, runLine });
      nodes.push(node);
      const backEnd = createBackEnd({
        id: `i-${index + 1}`,
        service,
        zone,
        slots,
        address: `${ip}:${ports.backEnd}`,
        admin: bind.admin,
        work: (request, response) => work({ request, response, node }),
        onRun: (one) => {
          runs.push({ ...one, atMs: performance.now() });
          record.write(`back end ${one.backEnd} runs ${one.id} ${one.path}`);
        },
      });
      backEnds.push(backEnd);
    }
    await Promise.all(nodes.map((node) => node.start()));
    await Promise.all(backEnds.map((backEnd) => backEnd.start()));

    /** Sends a client attempt with an id of its own and records its answer. */
    const send = async ({
      body,
      deadlineMs = 5_000,
      host = 'calls.example',
      key,
      method = 'GET',
      ...call
    }) => {
      nextId += 1;
      const id = call.id ?? `request-${nextId}`;
      const headers = { Host: host, 'X-Request-Id': id, 'X-Deadline-Ms': String(deadlineMs) };
      if (key !== undefined) headers.Authorization = `Bearer ${key}`;
      if (body !== undefined) headers['Content-Length'] = Buffer.byteLength(body);
      const sentMs = performance.now();
      record.write(`client sends ${id} ${call.path} to ${call.to}`);
      const answer = await sendAttempt({ agent, ...call, body, headers, method });
      const endedMs = performance.now();
      record.write(`client gets ${id} ${answer.status} ${answer.error ?? ''}`.trimEnd());
      return { id, sentMs, endedMs, ...answer };
    };
    const isReady = async (node) => {
      const answer = await sendAttempt({
        to: node.readiness,
        path: '/ready',
        method: 'GET',
        headers: {},
      });
      return answer.status === 200;
    };
    const waitUntilReady = async (which = nodes) => {
      for (const node of which) while (!(await isReady(node))) await sleep(50);
    };
    await waitUntilReady();
    const isBroken = await run({
      agent,
      backEnds,
      hasTrouble,
      nodes,
      publish,
      record,
      runs,
      send,
      sleep,
      store,
      waitUntilReady,
    });
    if (isBroken) await finish(CASE_BROKEN, `broken: ${isBroken}`);
    else await finish(0, 'held');
  } catch (error) {
    await finish(CASE_IMPOSSIBLE, `the case could not run: ${error.stack}`);
  }
}
