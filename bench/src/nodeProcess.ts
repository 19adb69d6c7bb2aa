import {
  createTestNode,
  createSharedFleetState,
  createTestManifest,
  sendRequest,
} from '@buckthornslip/app-standins';
import type { ServiceId } from '@buckthornslip/common';

import { answerCommands } from './lib/answerCommands';
import { BENCH_KEY } from './lib/BENCH_KEY';
import type { Command } from './lib/Command';
import { cpuMilliseconds } from './lib/cpuMilliseconds';

const fleet = createSharedFleetState(createTestManifest());
fleet.grant(BENCH_KEY, 'ciema-banka');
const node = await createTestNode({ fleet, host: `host-${process.pid}` });

async function announceUpstream(upstream: string): Promise<void> {
  const capacity = { slots: 500, connections: 500, state: 'ready', coldStartMilliseconds: 0 };
  const announcement = { service: 'statements', address: upstream, ...capacity };
  const body = Buffer.from(JSON.stringify(announcement));
  await sendRequest({
    address: node.outgoingAddress(),
    method: 'POST',
    path: '/announce',
    body,
    agent: false,
  });
}

function addPeer(host: string, peerAddress: string): void {
  const [self] = fleet.members.values();
  if (self === undefined) return;
  const service = 'statements' as ServiceId;
  const peer = {
    ...self,
    host: host as typeof self.host,
    peerAddress,
    service,
    state: 'ready' as const,
  };
  fleet.members.set(host, peer);
}

answerCommands(async (command: Command) => {
  if (command.kind === 'announce') await announceUpstream(command.upstream);
  if (command.kind === 'peer') addPeer(command.host, command.peerAddress);
  return {
    address: node.callerAddress(),
    peerAddress: node.peerAddress(),
    cpuMilliseconds: cpuMilliseconds(),
  };
});
