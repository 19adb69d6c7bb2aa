import type { HostId, ServiceId, ZoneId } from '@buckthornslip/common';
import { createFakeClock } from '@buckthornslip/common';
import type {
  MembershipNode,
  MembershipOptions,
  RegistrationInfo,
} from '@buckthornslip/membership';
import { createMemoryFleet } from '@buckthornslip/membership';
import t from 'tap';

const SERVICE = 'draw' as ServiceId;
const ZONES = ['riga-1', 'riga-2', 'daugavpils-1', 'daugavpils-2'];
const hostNames = (count: number): string[] =>
  Array.from({ length: count }, (_, index) => `host-${index}`);

function startService(seed: number, count: number, options?: Partial<MembershipOptions>) {
  const clock = createFakeClock();
  const fleet = createMemoryFleet(clock, seed);
  const hosts = hostNames(count);
  hosts.forEach((host, index) => fleet.start(host, ZONES[index % ZONES.length]!, SERVICE, options));
  const nodes = (): MembershipNode[] => hosts.map((host) => fleet.node(host)).filter(Boolean);
  return { clock, fleet, hosts, nodes };
}

const aliveHosts = (node: MembershipNode): string[] =>
  node
    .members(SERVICE)
    .filter(({ alive }) => alive)
    .map(({ host }) => host)
    .sort();

const findMember = (node: MembershipNode, host: string) =>
  node.members(SERVICE).find((member) => member.host === host);

void t.test('nodes that start together in several zones form one group', async (test) => {
  const { clock, hosts, nodes } = startService(1, 12);
  await clock.advance(6_000);
  nodes().forEach((node) => test.same(aliveHosts(node), [...hosts].sort()));
});

void t.test('a crashed member is declared dead everywhere within 5 s', async (test) => {
  for (const seed of [1, 2, 3, 4, 5, 6]) {
    const { clock, fleet, hosts, nodes } = startService(seed, 8);
    await clock.advance(8_000 + seed * 170);
    const subscriber = fleet.start('caller', 'riga-1');
    subscriber.members(SERVICE);
    await clock.advance(3_000);
    fleet.crash(hosts[3]!);
    await clock.advance(5_000);
    const isDead = (node: MembershipNode): boolean => findMember(node, hosts[3]!)?.alive === false;
    test.ok(nodes().every(isDead), `seed ${seed}: all members know`);
    test.ok(isDead(subscriber), `seed ${seed}: the subscriber knows`);
    test.equal(aliveHosts(nodes()[0]!).length, 7, `seed ${seed}: no other node was declared dead`);
  }
});

void t.test('no live member is declared dead while 20 % of messages are lost', async (test) => {
  for (const seed of [11, 12, 13]) {
    const { clock, fleet, nodes } = startService(seed, 8);
    await clock.advance(8_000);
    let deaths = 0;
    nodes().forEach((node) =>
      node.changes(SERVICE).subscribe((members) => {
        deaths += members.filter(({ alive }) => !alive).length;
      }),
    );
    fleet.network.setLoss(0.2);
    await clock.advance(60_000);
    test.equal(deaths, 0, `seed ${seed}`);
  }
});

void t.test(
  'a wrong suspicion by a caller does not get a live member declared dead',
  async (test) => {
    const { clock, fleet, hosts, nodes } = startService(17, 8);
    const caller = fleet.start('caller', 'riga-1');
    caller.members(SERVICE);
    await clock.advance(8_000);
    for (let second = 0; second < 10; second += 1) {
      caller.suspect(hosts[1] as HostId);
      nodes()[0]!.suspect(hosts[1] as HostId);
      await clock.advance(1_000);
    }
    [...nodes(), caller].forEach((node) => test.equal(aliveHosts(node).length, 8));
  },
);

void t.test('draining reaches members and subscribers within 2 s', async (test) => {
  for (const loss of [0, 0.1]) {
    const { clock, fleet, hosts, nodes } = startService(21, 10);
    const callers = ['caller-a', 'caller-b'].map((host) => fleet.start(host, 'daugavpils-2'));
    callers.forEach((caller) => caller.members(SERVICE));
    await clock.advance(8_000);
    fleet.network.setLoss(loss);
    const leaving = fleet.node(hosts[4]!);
    const { slots, connections } = leaving.self();
    const announcement = { service: SERVICE, address: '', slots, connections };
    leaving.announce({ ...announcement, state: 'draining', coldStartMilliseconds: 0 });
    await clock.advance(2_000);
    [...nodes(), ...callers].forEach((node) =>
      test.equal(
        findMember(node, hosts[4]!)?.state,
        'draining',
        `${node.self().host}, loss ${loss}`,
      ),
    );
  }
});

void t.test('a restarted node immediately replaces its earlier incarnation', async (test) => {
  const { clock, fleet, hosts, nodes } = startService(31, 8);
  await clock.advance(8_000);
  const earlier = fleet.node(hosts[2]!).self().incarnation;
  const restarted = fleet.start(hosts[2]!, 'riga-1', SERVICE);
  await clock.advance(1_500);
  test.ok(restarted.self().incarnation > earlier);
  nodes().forEach((node) => {
    const record = findMember(node, hosts[2]!);
    test.match(record, { incarnation: restarted.self().incarnation, alive: true });
  });
});

void t.test('the sides of a network partition find each other after it heals', async (test) => {
  const { clock, fleet, hosts, nodes } = startService(41, 8);
  await clock.advance(8_000);
  const side = new Map(nodes().map((node) => [node.self().host as string, node.self().region]));
  fleet.network.partition((address) => side.get(address));
  await clock.advance(20_000);
  nodes().forEach((node) =>
    test.equal(aliveHosts(node).length, 4, 'only members on the same side are alive'),
  );
  fleet.network.partition(() => undefined);
  await clock.advance(15_000);
  nodes().forEach((node) => test.same(aliveHosts(node), [...hosts].sort()));
});

void t.test(
  'nodes join through seeds while the store is down, and use the store later',
  async (test) => {
    const clock = createFakeClock();
    const fleet = createMemoryFleet(clock, 51);
    fleet.store.setDown(true);
    const hosts = hostNames(9);
    const seeds = hosts.slice(0, 2);
    hosts.forEach((host, index) => fleet.start(host, ZONES[index % 3]!, SERVICE, { seeds }));
    await clock.advance(15_000);
    hosts.forEach((host) => test.same(aliveHosts(fleet.node(host)), [...hosts].sort(), host));
    fleet.store.setDown(false);
    await clock.advance(15_000);
    const contacts = await fleet.store.list('contacts/');
    test.equal(contacts.ok && contacts.value.length, 9, 'three contacts in each of three zones');
  },
);

void t.test(
  'a zone keeps three contacts, and store calls grow only with the number of zones',
  async (test) => {
    const { clock, fleet, hosts } = startService(61, 24);
    await clock.advance(30_000);
    const contactsOf = (zone: string) =>
      fleet
        .node(hosts[4]!)
        .zoneContacts()
        .get(zone as ZoneId) ?? [];
    ZONES.forEach((zone) => test.equal(contactsOf(zone).length, 3, zone));
    const calls = fleet.store.callCount();
    await clock.advance(30_000);
    test.ok(fleet.store.callCount() - calls <= 12 * 30 * 0.5, 'half a call per contact per second');
    const [first] = contactsOf('riga-1');
    fleet.crash(first!.host);
    await clock.advance(40_000);
    test.equal(contactsOf('riga-1').length, 3, 'a registered node replaces the lost contact');
    const contact = fleet.node(contactsOf('riga-1')[0]!.host);
    test.equal(contact.registeredNodes().length, 5, 'contacts know the nodes of their zone');
  },
);

void t.test('records of departed nodes are removed and do not come back', async (test) => {
  // Shorter than the default, to keep the test fast.
  const options = { departedRetentionMilliseconds: 60_000 };
  const { clock, fleet, nodes } = startService(91, 8, options);
  const caller = fleet.start('caller', 'riga-1', undefined, options);
  caller.members(SERVICE);
  await clock.advance(8_000);
  const leaving = fleet.start('leaving', 'riga-1', SERVICE, options);
  fleet.start('crashing', 'riga-1', SERVICE, options);
  await clock.advance(5_000);
  void leaving.leave();
  fleet.crash('crashing');
  await clock.advance(8_000);
  const isKnown = (host: string): boolean =>
    [...nodes(), caller].some((node) => node.findHost(host as HostId) !== undefined);
  test.ok(
    isKnown('leaving') && isKnown('crashing'),
    'kept at first, so that older records do not replace them',
  );
  test.notOk(findMember(caller, 'leaving'), 'a node that has left is not a member');
  await clock.advance(90_000);
  test.notOk(isKnown('leaving') || isKnown('crashing'));
});

void t.test(
  'registration returns revision and freshness, aged by the round-trip time',
  async (test) => {
    const clock = createFakeClock();
    const fleet = createMemoryFleet(clock, 71);
    let received: RegistrationInfo | undefined;
    const registrationInfo = () => ({ revision: 42, freshnessMilliseconds: 10 });
    ['a', 'b', 'c'].forEach((host) => fleet.start(host, 'riga-1', SERVICE, { registrationInfo }));
    await clock.advance(5_000);
    fleet.start('d', 'riga-1', SERVICE, {
      onRegistrationInfo: (info) => {
        received = info;
      },
    });
    await clock.advance(5_000);
    test.same(received, { revision: 42, freshnessMilliseconds: 12 });
  },
);

void t.test('a caller knows only the services that it calls', async (test) => {
  const { clock, fleet, hosts } = startService(81, 8);
  hostNames(8).forEach((host) => fleet.start(`${host}-other`, 'riga-2', 'other'));
  const caller = fleet.start('caller', 'riga-1');
  caller.members(SERVICE);
  await clock.advance(8_000);
  test.equal(caller.members(SERVICE).length, 8);
  // Contacts register with all contacts, so the caller may know the contacts of the other service, but none of its
  // other hosts.
  const otherHosts = hostNames(8).filter((host) => caller.findHost(`${host}-other` as HostId));
  test.ok(otherHosts.length <= 3, 'only contacts of other services are known');
  test.ok(hosts.every((host) => caller.findHost(host as HostId)));
});

// Guards against a resumed call that is sent to an empty address: a node may know the bound host only as a contact.
void t.test(
  'a host that is known only as a zone contact has its address for calls',
  async (test) => {
    const { clock, fleet, nodes } = startService(7, 4);
    await clock.advance(6_000);
    const contacts = nodes().filter((node) => node.isContact());
    const caller = fleet.start('caller', 'riga-1');
    const known = new Set<string>();
    for (let step = 0; step < 100; step += 1) {
      await clock.advance(50);
      for (const contact of contacts) {
        const { host, peerAddress } = contact.self();
        const found = caller.findHost(host);
        if (found) known.add(host);
        test.equal((found ?? contact.self()).peerAddress, peerAddress, host);
      }
    }
    test.equal(known.size, contacts.length);
  },
);
