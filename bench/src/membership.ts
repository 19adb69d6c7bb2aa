import type { ServiceId } from '@buckthornslip/common';
import { createFakeClock, createSeededRandom } from '@buckthornslip/common';
import type { MembershipHandler, MemoryFleet, MemoryNetwork } from '@buckthornslip/membership';
import { createMemoryFleet, createMemoryNetwork } from '@buckthornslip/membership';
import { membershipMessages } from '@buckthornslip/wire';
import yargs from 'yargs';
import { hideBin } from 'yargs/helpers';

/** Size of the authentication code that precedes each message, in bytes. */
const AUTHENTICATION_BYTES = 16;

const ZONES = ['riga-1', 'riga-2', 'daugavpils-1', 'daugavpils-2'];
const WARM_UP_MILLISECONDS = 20_000;
const STEP_MILLISECONDS = 1_000;

/** Traffic of one node, sent and received. */
interface Row {
  readonly groupSize: number;
  readonly node: string;
  readonly messagesPerSecond: number;
  readonly bytesPerSecond: number;
}

type TrafficRates = Omit<Row, 'groupSize' | 'node'>;

const hostName = (zone: string, service: string, index: number): string =>
  `${zone}-${service}-${String(index).padStart(4, '0')}`;

const messagesOf = (network: MemoryNetwork, host: string): number =>
  network.traffic(host).sentMessages + network.traffic(host).receivedMessages;

const bytesOf = (network: MemoryNetwork, host: string): number =>
  network.traffic(host).sentBytes + network.traffic(host).receivedBytes;

/** Advances the network and measures the traffic rates of some nodes. */
async function measure(
  network: MemoryNetwork,
  advance: (milliseconds: number) => Promise<void>,
  hosts: readonly string[],
  seconds: number,
): Promise<readonly TrafficRates[]> {
  const before = hosts.map((host) => [messagesOf(network, host), bytesOf(network, host)] as const);
  for (let second = 0; second < seconds; second += 1) await advance(STEP_MILLISECONDS);
  return hosts.map((host, index) => {
    const [messages, bytes] = before[index]!;
    const messagesPerSecond = (messagesOf(network, host) - messages) / seconds;
    const payloadPerSecond = (bytesOf(network, host) - bytes) / seconds;
    const bytesPerSecond = payloadPerSecond + AUTHENTICATION_BYTES * messagesPerSecond;
    return { messagesPerSecond, bytesPerSecond };
  });
}

/** Selects the node with the most traffic, to which the limit per node applies. */
function busiest(measured: readonly TrafficRates[]): TrafficRates {
  return measured.reduce((most, one) => (one.bytesPerSecond > most.bytesPerSecond ? one : most));
}

function startFleet(fleet: MemoryFleet, groupSize: number): void {
  for (let index = 0; index < groupSize; index += 1) {
    const zone = ZONES[index % ZONES.length]!;
    const caller = fleet.start(hostName(zone, 'invoice', index), zone, 'invoice');
    caller.members('ledger' as ServiceId);
    fleet.start(hostName(zone, 'ledger', index), zone, 'ledger');
  }
}

/** Measures two services of the same size; each node of the first calls the second. */
async function measureMembership(
  seed: number,
  groupSize: number,
  seconds: number,
): Promise<readonly Row[]> {
  const clock = createFakeClock();
  const fleet = createMemoryFleet(clock, seed);
  startFleet(fleet, groupSize);
  await clock.advance(WARM_UP_MILLISECONDS);
  const hostsOf = (service: string): string[] =>
    Array.from({ length: groupSize }, (_, index) =>
      hostName(ZONES[index % ZONES.length]!, service, index),
    );
  const contacts = new Set<string>(
    [...fleet.node(hostsOf('ledger')[0]!).zoneContacts().values()].flat().map(({ host }) => host),
  );
  const roles: readonly (readonly [string, readonly string[]])[] = [
    ['member that calls', hostsOf('invoice').filter((host) => !contacts.has(host))],
    ['member that is called', hostsOf('ledger').filter((host) => !contacts.has(host))],
    ['zone contact', [...contacts]],
  ];
  const all = roles.flatMap(([, hosts]) => hosts);
  const measured = await measure(fleet.network, clock.advance, all, seconds);
  const rateOf = new Map(all.map((host, index) => [host, measured[index]!]));
  return roles
    .filter(([, hosts]) => hosts.length > 0)
    .map(([node, hosts]) => ({
      groupSize,
      node,
      ...busiest(hosts.map((host) => rateOf.get(host)!)),
    }));
}

/** Handler that implements only pushes. */
const pushHandler = {
  pushMembers: () => ({ updates: [] }),
} as unknown as MembershipHandler;

/**
 * Measures the baseline: each node of both services sends its record to all nodes of the fleet every second. Only the
 * messages from and to the measured node are simulated.
 */
async function measureHeartbeats(seed: number, groupSize: number, seconds: number): Promise<Row> {
  const clock = createFakeClock();
  const network = createMemoryNetwork({
    clock,
    random: createSeededRandom(seed),
    delayMilliseconds: () => 1,
  });
  const hosts = Array.from({ length: 2 * groupSize }, (_, index) => {
    const zone = ZONES[index % ZONES.length]!;
    return hostName(zone, 'ledger', index);
  });
  const [measuredHost] = hosts as [string];
  const sendHeartbeat = (host: string): void => {
    const record = membershipMessages.MemberRecord.fromPartial({
      host,
      incarnation: clock.wallMilliseconds(),
      version: 2,
      service: 'ledger',
      region: 'riga',
      zone: 'riga-1',
      peerAddress: `${host}:peer`,
      controlAddress: host,
      slots: 10,
      connections: 100,
      state: membershipMessages.MemberState.MEMBER_STATE_READY,
    });
    const request = { service: 'ledger', updates: [record] };
    const peers = network.peersOf(host);
    const receivers = host === measuredHost ? hosts.slice(1) : [measuredHost];
    receivers.forEach((other) => {
      void peers.call(other, 'pushMembers', request, STEP_MILLISECONDS);
    });
    clock.setTimer(STEP_MILLISECONDS, () => sendHeartbeat(host));
  };
  hosts.forEach((host) => network.attach(host, pushHandler));
  hosts.forEach((host) => clock.setTimer(0, () => sendHeartbeat(host)));
  const measured = await measure(network, clock.advance, [measuredHost], seconds);
  return { groupSize, node: 'baseline: heartbeats to all', ...measured[0]! };
}

const settings = await yargs(hideBin(process.argv))
  .scriptName('membership')
  .option('seed', { type: 'number', default: 1, describe: 'seed of all random choices' })
  .option('seconds', { type: 'number', default: 30, describe: 'simulated time per group size' })
  .option('sizes', { type: 'array', default: [8, 25, 50, 100], describe: 'group sizes' })
  .strict()
  .help()
  .parseAsync();

const rows: Row[] = [];
for (const groupSize of settings.sizes.map(Number)) {
  rows.push(...(await measureMembership(settings.seed, groupSize, settings.seconds)));
  // The rates of the baseline are constant, so a few seconds are enough.
  rows.push(await measureHeartbeats(settings.seed, groupSize, Math.min(3, settings.seconds)));
}
const round = (value: number): number => Math.round(value * 10) / 10;
const rounded = rows.map((row) => ({
  ...row,
  messagesPerSecond: round(row.messagesPerSecond),
  bytesPerSecond: round(row.bytesPerSecond),
}));
console.log(
  'Busiest node of each kind; encoded messages with authentication code, both directions,',
);
console.log('without HTTP/2 framing. Fake clock, in-memory network.');
console.table(rounded);
const { seed, seconds } = settings;
console.log(JSON.stringify({ benchmark: 'membership', seed, seconds, rows: rounded }));
