import { spawn } from 'node:child_process';
import { once } from 'node:events';
import { writeFile } from 'node:fs/promises';
import { join } from 'node:path';

import { sendRequest } from '@buckthornslip/app-standins';

import { formatSettings } from '../demo/formatSettings';
import { waitFor } from '../demo/waitFor';
import { findFreePorts } from './findFreePorts';
import type { MeasurementEnvironment } from './MeasurementEnvironment';

const START_LIMIT_MILLISECONDS = 20_000;
const PORTS = 5;

/** Command-line flags for Node.js in the measured processes, separated by spaces. */
const nodeFlags = (process.env.CAPACITY_NODE_FLAGS ?? '').split(' ').filter(Boolean);

/**
 * Node that runs the bundled program in its own process.
 *
 * @internal
 */
export interface MeasuredNode {
  readonly pid: number;
  readonly callers: string;
  readonly control: string;
  readonly outgoing: string;
  /** Announces an upstream of a service to the node. */
  readonly announce: (service: string, upstream?: string) => Promise<void>;
}

/**
 * Starts a node and waits until it listens.
 *
 * @param environment - Environment of the measurement.
 * @param host - Name of the host.
 * @returns Running node.
 * @internal
 */
export async function startMeasuredNode(
  environment: MeasurementEnvironment,
  host: string,
): Promise<MeasuredNode> {
  const [callers = 0, outgoing = 0, peers = 0, control = 0, admin = 0] = await findFreePorts(PORTS);
  const ports = { callers, outgoing, peers, control, admin };
  const demoHost = { host, region: 'riga', zone: 'riga-a', service: '', ports };
  const file = join(environment.directory, `${host}.toml`);
  const secretFile = join(environment.directory, 'secret');
  await writeFile(file, formatSettings(demoHost, environment.store.address, secretFile));
  const programArguments = [...nodeFlags, 'dist/buckthornslip-node.mjs', 'run', '--settings', file];
  const child = spawn(process.execPath, programArguments, {
    stdio: ['ignore', 'ignore', 'inherit'],
  });
  environment.onClose(async () => {
    child.kill('SIGKILL');
    if (child.exitCode === null) await once(child, 'exit');
  });
  await waitFor(`${host} listens`, START_LIMIT_MILLISECONDS, async () => {
    const response = await fetch(`http://127.0.0.1:${admin}/healthz`).catch(() => undefined);
    return response?.ok ?? false;
  });
  return {
    pid: child.pid ?? 0,
    callers: `127.0.0.1:${callers}`,
    control: `127.0.0.1:${control}`,
    outgoing: `127.0.0.1:${outgoing}`,
    announce: async (service, upstream = '127.0.0.1:1') => {
      const capacity = { slots: 500, connections: 500, state: 'ready', coldStartMilliseconds: 0 };
      const body = Buffer.from(JSON.stringify({ service, address: upstream, ...capacity }));
      const address = `127.0.0.1:${outgoing}`;
      await sendRequest({ address, method: 'POST', path: '/announce', body, agent: false });
    },
  };
}
