import { randomBytes } from 'node:crypto';
import { mkdtemp, rm, writeFile } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';

import { reservePorts } from '@buckthornslip/app-standins';

import type { DemoFleet } from './DemoFleet';
import type { DemoHost } from './DemoHost';
import { formatSettings } from './formatSettings';
import type { ManagedProcess } from './ManagedProcess';
import { planHosts } from './planHosts';
import { startProcess } from './startProcess';
import { waitFor } from './waitFor';

const START_LIMIT_MILLISECONDS = 20_000;

async function isListening(port: number): Promise<boolean> {
  const response = await fetch(`http://127.0.0.1:${port}/healthz`).catch(() => undefined);
  return response?.ok ?? false;
}

/**
 * Starts an in-memory store server, and nodes in two regions with one stub upstream each.
 *
 * @param onLine - Called with each log line.
 * @returns The running fleet.
 */
export async function startFleet(onLine: (line: string) => void): Promise<DemoFleet> {
  const directory = await mkdtemp(join(tmpdir(), 'buckthornslip-demo-'));
  const secretFile = join(directory, 'fleet-secret');
  await writeFile(secretFile, randomBytes(32).toString('hex'));
  const hosts = await planHosts();
  const [storeControlPort = 0] = await reservePorts(1);
  const storeOptions = ['store', '--control-port', String(storeControlPort)];
  const store = startProcess('store', 'buckthornslip-standins.mjs', storeOptions, onLine);
  const storeAddress = await store.listening;

  const startNode = async (host: DemoHost): Promise<ManagedProcess> => {
    const settingsFile = join(directory, `${host.host}.toml`);
    await writeFile(settingsFile, formatSettings(host, storeAddress, secretFile));
    const name = `node ${host.host}`;
    return startProcess(
      name,
      'buckthornslip-node.mjs',
      ['run', '--settings', settingsFile],
      onLine,
    );
  };
  const startUpstream = (host: DemoHost): ManagedProcess => {
    const node = `127.0.0.1:${host.ports.outgoing}`;
    const options = ['upstream', '--service', host.service, '--node', node, '--slots', '32'];
    return startProcess(`upstream ${host.host}`, 'buckthornslip-standins.mjs', options, onLine);
  };

  const nodes = await Promise.all(hosts.map(startNode));
  const admins = hosts.map(({ ports }) => ports.admin);
  await waitFor('all nodes listen', START_LIMIT_MILLISECONDS, async () => {
    const states = await Promise.all(admins.map(isListening));
    return states.every(Boolean);
  });
  const upstreams = hosts.map(startUpstream);
  const addresses = await Promise.all(upstreams.map((upstream) => upstream.listening));
  const all = [...upstreams, ...nodes, store];

  const stopGroup = async (group: readonly ManagedProcess[]): Promise<string[]> => {
    const codes = await Promise.all(group.map((each) => each.stop()));
    return group.filter((_, index) => codes[index] !== 0).map(({ name }) => name);
  };

  return {
    hosts,
    ctlOptions: ['--store', storeAddress, '--fleet-secret-file', secretFile],
    node: (host) => nodes[hosts.indexOf(host)] as ManagedProcess,
    upstream: (host) => upstreams[hosts.indexOf(host)] as ManagedProcess,
    setStoreFaults: async (faults) => {
      const url = `http://127.0.0.1:${storeControlPort}/faults`;
      await fetch(url, { method: 'POST', body: JSON.stringify(faults) });
    },
    upstreamAddress: (host) => addresses[hosts.indexOf(host)] ?? '',
    stop: async () => {
      const failed = await stopGroup(upstreams);
      failed.push(...(await stopGroup(nodes)), ...(await stopGroup([store])));
      await rm(directory, { recursive: true });
      return failed;
    },
    kill: () => all.forEach((each) => each.kill()),
  };
}
