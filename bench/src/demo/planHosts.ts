import { reservePorts } from '@buckthornslip/app-standins';

import type { DemoHost } from './DemoHost';

const PORTS_PER_HOST = 5;

const services = ['balances', 'statements', 'uploads', 'subsidies'];

/** Zones of the Auklu deployment with their regions. */
const zones = [
  { region: 'riga', zone: 'riga-a' },
  { region: 'daugavpils', zone: 'daugavpils-a' },
  { region: 'riga', zone: 'riga-b' },
  { region: 'daugavpils', zone: 'daugavpils-b' },
];

/**
 * Plans one host for each service in each region and spreads the hosts over the zones.
 *
 * @returns Hosts with reserved ports.
 */
export async function planHosts(): Promise<readonly DemoHost[]> {
  const placements = services.flatMap((service, index) =>
    [0, 1].map((part) => ({ service, ...zones[(index * 2 + part) % zones.length] })),
  );
  const ports = await reservePorts(placements.length * PORTS_PER_HOST);
  return placements.map(({ service, region = '', zone = '' }, index) => {
    const [callers = 0, outgoing = 0, peers = 0, control = 0, admin = 0] = ports.slice(
      index * PORTS_PER_HOST,
    );
    const host = `${zone}-${service}`;
    return { host, region, zone, service, ports: { callers, outgoing, peers, control, admin } };
  });
}
