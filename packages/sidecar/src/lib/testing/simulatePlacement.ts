import { createAdmissionController } from '@buckthornslip/admission';
import { createFakeClock, createSeededRandom } from '@buckthornslip/common';
import type {
  AccountId,
  HostId,
  Incarnation,
  RandomSource,
  RegionId,
  ServiceId,
  ZoneId,
} from '@buckthornslip/common';
import type { Member } from '@buckthornslip/membership';
import { createRouter } from '@buckthornslip/routing';
import { createSilentLogger } from '@buckthornslip/telemetry';
import { BehaviorSubject } from 'rxjs';

import { createCallCosts } from '../serving/createCallCosts';

/** A load on one service, as the design page describes deployments. */
export interface PlacementLoad {
  /** Time in which requests arrive. */
  readonly milliseconds: number;
  readonly upstreams: number;
  readonly slots: number;
  /** Speeds of the upstreams, in turn. */
  readonly speeds: readonly number[];
  readonly meanMilliseconds: number;
  /** Spread of the lognormal work of one class of requests. */
  readonly spread: number;
  /** Mean work of each route, as a factor. */
  readonly routes: readonly number[];
  /** Share of requests whose work is multiplied by the tail factor. */
  readonly tailShare: number;
  readonly tailFactor: number;
  /** Share of upstreams that take 2.5 times as long, drawn again every 0.6 s. */
  readonly slowShare: number;
  /** Share of the slots above which an upstream takes 1.3 times as long. */
  readonly crowdedShare: number;
  /** Demand as a share of the capacity at the mean work. */
  readonly utilization: number;
  /** Amplitude of the waves of demand, with a period of 17 s and another phase in each zone. */
  readonly wave: number;
}

type Request = Parameters<ReturnType<typeof createCallCosts>['expected']>[0];

/** What a run shows. */
export interface PlacementResult {
  readonly calls: number;
  readonly p50: number;
  readonly p99: number;
  /** Share of all calls answered within the objective. */
  readonly withinObjective: number;
}

const ZONES = 4;
const ENTRY_NODES = 84;
const ACCOUNTS = 20;
/** Calls of the first seconds are not counted, in which estimates and reports are missing. */
const WARM_UP_MILLISECONDS = 2_000;
const PHASE_MILLISECONDS = 600;
const SLOW_FACTOR = 2.5;
const CROWDED_FACTOR = 1.3;
const WAVE_MILLISECONDS = 17_000;
/** Objective of a call by its mean work: 502 ms at 190 ms in deployment A. */
const OBJECTIVE_RATIO = 502 / 190;
/** Deadline of a call by its objective; later answers still count in the 99th percentile. */
const DEADLINE_RATIO = 4;
const MAXIMUM_ATTEMPTS = 3;
const QUEUE_TARGET_MILLISECONDS = 400;
const NO_BODY = { kind: 'whole', bytes: Buffer.alloc(0) } as const;
const SERVICE = 'service' as ServiceId;

const zoneOf = (index: number): ZoneId => `zone-${index % ZONES}` as ZoneId;
const regionOf = (index: number): RegionId => `region-${index % 2}` as RegionId;

/** Mean delay of one way, in milliseconds: 0.5 in a zone, 1.5 in a region, 10 between regions. */
function delayTo(entry: number, member: number): number {
  if (entry % ZONES === member % ZONES) return 0.5;
  return entry % 2 === member % 2 ? 1.5 : 10;
}

function createNormal(random: RandomSource): () => number {
  return () => Math.sqrt(-2 * Math.log(1 - random.next())) * Math.cos(2 * Math.PI * random.next());
}

function memberOf(index: number, slots: number): Member {
  return {
    host: `host-${index}` as HostId,
    incarnation: 1 as Incarnation,
    version: 1,
    service: SERVICE,
    region: regionOf(index),
    zone: zoneOf(index),
    peerAddress: `host-${index}`,
    controlAddress: `host-${index}`,
    slots,
    connections: 100,
    state: 'ready',
    alive: true,
  };
}

/**
 * Simulates one service of a fleet with the product's routers, cost estimates and admission controllers, on a fake
 * clock. Load reports reach an entry node only with answers, after a network delay of 1 to 30 ms for both ways.
 *
 * @param load - The load.
 * @param byExpectedWork - Whether the entry nodes compare members by expected completion time.
 * @param seed - Seed of the requests, which are the same for both rules, and of the choices.
 * @returns Latencies and the share within the objective.
 */
export async function simulatePlacement(
  load: PlacementLoad,
  byExpectedWork: boolean,
  seed: number,
): Promise<PlacementResult> {
  const clock = createFakeClock();
  const arrivals = createSeededRandom(seed);
  const routing = createSeededRandom(seed + 1);
  const delays = createSeededRandom(seed + 2);
  const phases = createSeededRandom(seed + 3);
  const normal = createNormal(arrivals);
  const { meanMilliseconds, slots, spread, upstreams } = load;
  const objective = meanMilliseconds * OBJECTIVE_RATIO;
  const deadline = objective * DEADLINE_RATIO;
  const members = Array.from({ length: upstreams }, (_, index) => memberOf(index, slots));
  const memberList = new BehaviorSubject<readonly Member[]>(members);
  const costs = Array.from({ length: ENTRY_NODES }, createCallCosts);
  const routers = costs.map((_, index) =>
    createRouter({
      region: regionOf(index),
      zone: zoneOf(index),
      clock,
      random: routing,
      logger: createSilentLogger(),
      linkBudget: () => ({ bytesPerSecond: 1e9, burstBytes: 1e9, largeBodyBytes: 1e9 }),
      settings: {},
      membership: {
        members: () => members,
        changes: () => memberList,
        waitForMembers: () => Promise.resolve(members),
        suspect: () => undefined,
      },
    }),
  );
  const servers = members.map((_, index) => {
    const admission = createAdmissionController({
      clock,
      adaptsToLatency: false,
      estimatesWork: byExpectedWork,
    });
    admission.setCapacity({
      state: 'ready',
      slots,
      coldStartMilliseconds: 0,
      queueTargetMilliseconds: QUEUE_TARGET_MILLISECONDS,
    });
    return {
      admission,
      speed: load.speeds[Math.floor(index / ZONES + index) % load.speeds.length]!,
      isSlow: false,
      running: 0,
    };
  });
  const serverOf = new Map(members.map(({ host }, index) => [host, servers[index]!]));
  const changePhases = (): void => {
    servers.forEach((server) => Object.assign(server, { isSlow: phases.next() < load.slowShare }));
    clock.setTimer(PHASE_MILLISECONDS, changePhases);
  };
  changePhases();

  const latencies: number[] = [];
  let calls = 0;
  let met = 0;

  /** One attempt at a serving node, with the delay of the way there and back. */
  const attempt = async (
    entry: number,
    request: Request,
    work: number,
    host: HostId,
    cost: number,
    remaining: number,
  ) => {
    const server = serverOf.get(host)!;
    const delay = delayTo(entry, Number(host.slice(5))) * (0.5 + delays.next());
    const sent = clock.monotonicMilliseconds();
    await clock.sleep(delay);
    const admitted = await server.admission.admit({
      account: request.chargedAccount,
      priority: 'normal',
      depth: 0,
      remainingMilliseconds: remaining - delay,
      isolated: false,
      requestClass: request.route,
      costMilliseconds: costs[Number(host.slice(5))]!.expected(request),
    });
    let took = 0;
    if (admitted.ok) {
      server.running += 1;
      const isCrowded = server.running > load.crowdedShare * slots;
      took =
        (work / server.speed) *
        (server.isSlow ? SLOW_FACTOR : 1) *
        (isCrowded ? CROWDED_FACTOR : 1);
      await clock.sleep(took);
      server.running -= 1;
      admitted.value.release('completed');
      costs[Number(host.slice(5))]!.observeLocal(request, took);
    }
    const report = server.admission.load();
    await clock.sleep(delay);
    if (admitted.ok) costs[entry]!.observeAnswer(request, took);
    routers[entry]!.report({
      host,
      service: SERVICE,
      outcome: admitted.ok ? 'answered' : 'refused',
      latencyMilliseconds: clock.monotonicMilliseconds() - sent,
      transferredBytes: 0,
      load: report,
      costMilliseconds: cost,
      serviceMilliseconds: admitted.ok ? took : undefined,
    });
    return admitted.ok;
  };

  const call = async (entry: number, request: Request, work: number): Promise<void> => {
    const began = clock.monotonicMilliseconds();
    if (began >= WARM_UP_MILLISECONDS) calls += 1;
    const excludedHosts = new Set<HostId>();
    const elapsed = (): number => clock.monotonicMilliseconds() - began;
    let isAnswered = false;
    for (let attempts = 0; attempts < MAXIMUM_ATTEMPTS && !isAnswered; attempts += 1) {
      const cost = costs[entry]!.expected(request);
      const chosen = await routers[entry]!.choose({
        service: SERVICE,
        priority: 'normal',
        bodyBytes: 0,
        excludedHosts,
        allowedRegions: undefined,
        costMilliseconds: byExpectedWork ? cost : undefined,
      });
      if (!chosen.ok || elapsed() >= deadline) break;
      excludedHosts.add(chosen.value.host);
      isAnswered = await attempt(
        entry,
        request,
        work,
        chosen.value.host,
        cost,
        deadline - elapsed(),
      );
    }
    if (began < WARM_UP_MILLISECONDS) return;
    latencies.push(isAnswered ? elapsed() : Infinity);
    if (isAnswered && elapsed() <= objective) met += 1;
  };

  const speed = load.speeds.reduce((sum, value) => sum + value, 0) / load.speeds.length;
  const tail = 1 + load.tailShare * (load.tailFactor - 1);
  const slow = 1 - load.slowShare + load.slowShare / SLOW_FACTOR;
  const routeMean = load.routes.reduce((sum, value) => sum + value, 0) / load.routes.length;
  const perMillisecond =
    (load.utilization * upstreams * slots * speed * slow) / meanMilliseconds / ZONES;
  const sendFromZone = (zone: number): void => {
    const angle = 2 * Math.PI * (clock.monotonicMilliseconds() / WAVE_MILLISECONDS + zone / ZONES);
    const rate = perMillisecond * (1 + load.wave * Math.sin(angle));
    clock.setTimer(-Math.log(1 - arrivals.next()) / rate, () => {
      const entry = zone + ZONES * arrivals.nextInteger(ENTRY_NODES / ZONES);
      const route = arrivals.nextInteger(load.routes.length);
      const account = `account-${arrivals.nextInteger(ACCOUNTS)}` as AccountId;
      const factor = arrivals.next() < load.tailShare ? load.tailFactor : 1;
      const mean = (meanMilliseconds * load.routes[route]!) / routeMean / tail;
      const work = mean * factor * Math.exp(spread * normal() - spread ** 2 / 2);
      const request: Request = {
        service: SERVICE,
        route: `route-${route}`,
        chargedAccount: account,
        method: 'GET',
        body: NO_BODY,
      };
      void call(entry, request, work);
      if (clock.monotonicMilliseconds() < load.milliseconds) sendFromZone(zone);
    });
  };
  for (let zone = 0; zone < ZONES; zone += 1) sendFromZone(zone);
  await clock.advance(load.milliseconds + 10 * objective);
  routers.forEach((router) => router.close());
  latencies.sort((left, right) => left - right);
  const quantile = (share: number): number =>
    latencies[Math.floor(share * (latencies.length - 1))]!;
  return { calls, p50: quantile(0.5), p99: quantile(0.99), withinObjective: met / calls };
}
