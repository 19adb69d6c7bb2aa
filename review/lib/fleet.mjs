import { spawn } from 'node:child_process';
import { once } from 'node:events';
import { createWriteStream } from 'node:fs';
import { mkdtemp, rm, writeFile } from 'node:fs/promises';
import { get } from 'node:http';
import { createServer } from 'node:net';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { setTimeout as sleep } from 'node:timers/promises';

import { createBackend } from './backend.mjs';
import { createNetwork } from './network.mjs';
import { ports, renderSettings, root, runCommand, settingsFields } from './settings.mjs';
import { createStore } from './store.mjs';

/** Traffic starts so long after the machines do. */
const LEAD_MILLISECONDS = 10_000;

/** Processes that were started and have not ended. */
const children = new Set();

/** Ends all processes that were started, for an end of this process that is not planned. */
export const endChildren = () => children.forEach((child) => child.kill('SIGKILL'));

const canListen = (address, port) =>
  new Promise((resolve) => {
    const server = createServer();
    server.once('error', () => resolve(false));
    server.listen(port, address, () => server.close(() => resolve(true)));
  });

/** Finds two unused loopback networks, whose addresses have the same length. */
async function findNetworks() {
  for (let attempt = 0; attempt < 50; attempt += 1) {
    const octet = 100 + Math.floor(Math.random() * 150);
    const real = `127.${octet}.10.`;
    const alias = `127.${octet}.20.`;
    const checks = [...Object.values(ports), 7002].map((port) => canListen(`${real}1`, port));
    if ((await Promise.all(checks)).every(Boolean)) return { real, alias };
  }
  throw new Error('no free loopback network');
}

const isReady = (address) =>
  new Promise((resolve) => {
    get({ host: address, port: ports.readiness, path: '/ready', timeout: 500 }, (response) => {
      response.resume();
      resolve(response.statusCode === 200);
    }).on('error', () => resolve(false));
  });

/**
 * A small deployment: a store, machines with one node and one backend each, and the network between them.
 *
 * @param options - `folder` of the case; `machines` with the service of each and the handler of its backend; the first
 *   `configuration`.
 */
export async function startFleet({ folder, machines: plans, configuration }) {
  const started = Date.now();
  const records = createWriteStream(join(folder, 'record.txt'));
  const record = (text) => {
    records.write(`${((Date.now() - started) / 1000).toFixed(3)} ${text}\n`);
  };
  const { real, alias } = await findNetworks();
  const directory = await mkdtemp(join(tmpdir(), 'review-'));
  const [command, ...words] = await runCommand();
  const network = createNetwork({ real, alias });
  const store = createStore({
    rewrite: (value) => {
      const text = Buffer.from(value, 'base64').toString('latin1').replaceAll(real, alias);
      return Buffer.from(text, 'latin1').toString('base64');
    },
  });

  const names = plans.map((_plan, index) => ({
    name: `sidecar-z-${index + 1}`,
    number: index + 1,
  }));

  const createMachine = async ({ service, run }, index) => {
    const number = index + 1;
    const address = `${real}${number}`;
    const { name } = names[index];
    const path = await store.listen(address);
    const settingsPath = join(directory, `${name}.toml`);
    const backend = createBackend({
      address,
      id: `i-${number}`,
      service,
      zone: 'z',
      record,
      run: (...call) => run(...call, number),
    });
    let child;
    let isWanted = false;

    const start = async (bootstrap) => {
      const fields = { name, address, zone: 'z', service, bootstrap, store: path.address };
      await writeFile(settingsPath, await renderSettings(settingsFields(fields)));
      const { HOME, LANG, PATH } = process.env;
      isWanted = true;
      child = spawn(command, words, {
        cwd: root,
        env: { HOME, LANG, PATH, BUCKTHORNSLIP_BOOT: settingsPath },
        stdio: ['ignore', 'pipe', 'inherit'],
      });
      child.stdout.pipe(createWriteStream(join(directory, `${name}.log`), { flags: 'a' }));
      const launched = child;
      children.add(launched);
      record(`node ${name} started`);
      child.once('exit', (code, signal) => {
        children.delete(launched);
        record(`node ${name} ended: ${code ?? signal}`);
        if (isWanted && child === launched) child = undefined;
      });
    };

    return {
      number,
      name,
      address,
      backend,
      start,
      isReady: () => isReady(address),
      signal: (signal) => child?.kill(signal),
      /** Kills the node and waits for its end. */
      kill: async () => {
        isWanted = false;
        const ended = once(child, 'exit');
        child.kill('SIGKILL');
        await ended;
      },
      /** Cuts the machine off from the other machines and from the store. */
      setCut: (isCut) => {
        record(`machine ${name} ${isCut ? 'is cut off' : 'is connected again'}`);
        network.setCut(number, isCut);
        path.setCut(isCut);
      },
      stop: async () => {
        isWanted = false;
        backend.end();
        if (!child || child.exitCode !== null || child.signalCode !== null) return;
        const ended = once(child, 'exit');
        child.kill('SIGKILL');
        await ended;
      },
    };
  };

  const machines = await Promise.all(plans.map(createMachine));
  await Promise.all(machines.map(({ number }) => network.listen(number, names)));
  store.publish(configuration);
  await Promise.all(machines.map(({ start }) => start(true)));
  await sleep(1000);
  await Promise.all(machines.map(({ backend }) => backend.start()));
  await sleep(LEAD_MILLISECONDS - 1000);
  const areReady = await Promise.all(machines.map((machine) => machine.isReady()));

  return {
    machines,
    store,
    record,
    directory,
    isRunning: areReady.every(Boolean),
    close: async () => {
      await Promise.all(machines.map(({ stop }) => stop()));
      network.close();
      store.close();
      await new Promise((resolve) => {
        records.end(resolve);
      });
      if (process.env.KEEP === undefined) await rm(directory, { recursive: true, force: true });
      else process.stdout.write(`logs are in ${directory}\n`);
    },
  };
}
