import { fork } from 'node:child_process';
import { once } from 'node:events';
import { fileURLToPath } from 'node:url';

import type { PeerProcessPlan } from './PeerProcessPlan';
import type { SyntheticPeerOptions } from './startSyntheticPeer';
import type { MeasurementEnvironment } from './MeasurementEnvironment';

/** A process with more peers cannot keep up with their timers on a busy machine. */
const PEERS_PER_PROCESS = 100;

const script = fileURLToPath(new URL('./peerProcess.ts', import.meta.url));

async function startProcess(
  environment: MeasurementEnvironment,
  peers: readonly SyntheticPeerOptions[],
): Promise<void> {
  const { fleetSecret, store } = environment;
  const plan: PeerProcessPlan = { storeAddress: store.address, fleetSecret, peers };
  const child = fork(script, [JSON.stringify(plan)], { execArgv: ['--import', 'tsx'] });
  environment.onClose(() => child.kill('SIGKILL'));
  await once(child, 'message');
}

/**
 * Starts synthetic peers in separate processes.
 *
 * @param environment - Environment of the measurement.
 * @param peers - Options of each peer.
 * @internal
 */
export async function startSyntheticPeers(
  environment: MeasurementEnvironment,
  peers: readonly SyntheticPeerOptions[],
): Promise<void> {
  const starts: Promise<void>[] = [];
  for (let first = 0; first < peers.length; first += PEERS_PER_PROCESS) {
    starts.push(startProcess(environment, peers.slice(first, first + PEERS_PER_PROCESS)));
  }
  await Promise.all(starts);
}
