import type { Clock } from '@buckthornslip/common';
import { createBinaryHeap, createSeededRandom } from '@buckthornslip/common';
import { createSilentLogger } from '@buckthornslip/telemetry';

import { computeRetryAfter } from '../entry/computeRetryAfter';
import { createEntryThrottle } from '../entry/createEntryThrottle';
import { createRouteThrottle } from '../entry/createRouteThrottle';
import { createNestedShares } from '../serving/createNestedShares';

/** Load A of docs/design/regions-restores-and-uneven-load.md, reduced to the chain that ends at its smallest service. */
const ENTRY_NODES = 84;
/** Nodes of the first two services. Requests of the first route start at the first of them, those of the second at the other. */
const START_NODES = [41, 31, 41];
const LAST_NODES = 4;
const LAST_SLOTS = 174;
const LAST_QUEUE = 156;
const QUEUE_MILLISECONDS = 400;
const REQUESTS_PER_SECOND = 1_100;
const TIMEOUT_MILLISECONDS = 2_000;
const OWN_WORK_MILLISECONDS = 100;
const LAST_WORK_MILLISECONDS = 190;
const LAST_WORK_SPREAD = 0.8;
/** Cumulative shares of the ranks 0 to 3. */
const RANKS = [0.1, 0.3, 0.6, 1];
const ROUTES = ['first', 'second', 'other'];
/** Services before the last one that a request of each route runs at. */
const CHAIN_LENGTHS = [2, 1, 2];

/** Load relative to the usual one during a span of time. */
interface Phase {
  readonly milliseconds: number;
  readonly factor: number;
}

/** How one request ended. */
interface SimulatedRequest {
  readonly arrivedMilliseconds: number;
  readonly rank: number;
  /** Index of its route. */
  readonly route: number;
  /** Runs at the service of its route. */
  runs: number;
  isServed: boolean;
}

interface Waiting {
  readonly rank: number;
  readonly untilMilliseconds: number;
  readonly start: () => void;
  readonly refuse: () => void;
}

/** Only refused calls show lack of capacity; late ones may only be long. */
type Ending = 'served' | 'refused' | 'late';

type Done = (ending: Ending) => void;

/**
 * Simulates entry nodes, a service that calls a second one, which calls the last one 1 to 4 times in a row. Only the last
 * service has limited capacity, and admits by rank.
 *
 * @param options - Seed, phases of the load, whether the reports are used, and whether there are nested calls.
 * @returns All requests, and the time of every return of a refused one.
 * @internal
 */
export function simulateNestedLoad(options: {
  readonly seed: number;
  readonly phases: readonly Phase[];
  readonly usesReports: boolean;
}) {
  const random = createSeededRandom(options.seed);
  let now = 0;
  const clock = { monotonicMilliseconds: () => now } as Clock;
  const events = createBinaryHeap<{ readonly at: number; readonly run: () => void }>(
    (left, right) => left.at < right.at,
  );
  const after = (milliseconds: number, run: () => void): void =>
    events.push({ at: now + milliseconds, run });
  const logNormal = (mean: number, spread: number): number => {
    const normal =
      Math.sqrt(-2 * Math.log(1 - random.next())) * Math.cos(2 * Math.PI * random.next());
    return mean * Math.exp(spread * normal - spread ** 2 / 2);
  };

  const createLastNode = () => {
    let running = 0;
    let queue: Waiting[] = [];
    const runNext = (): void => {
      queue
        .filter(({ untilMilliseconds }) => untilMilliseconds <= now)
        .forEach((one) => one.refuse());
      queue = queue.filter(({ untilMilliseconds }) => untilMilliseconds > now);
      if (running >= LAST_SLOTS || queue.length === 0) return;
      const rank = Math.min(...queue.map((one) => one.rank));
      const [next] = queue.splice(
        queue.findIndex((one) => one.rank === rank),
        1,
      );
      next!.start();
    };
    return {
      load: () => running + queue.length,
      call: (rank: number, deadline: number, done: Done): void => {
        const start = (): void => {
          running += 1;
          after(logNormal(LAST_WORK_MILLISECONDS, LAST_WORK_SPREAD), () => {
            running -= 1;
            done(now <= deadline ? 'served' : 'late');
            runNext();
          });
        };
        if (running < LAST_SLOTS) {
          start();
          return;
        }
        const untilMilliseconds = Math.min(deadline, now + QUEUE_MILLISECONDS);
        queue.push({ rank, untilMilliseconds, start, refuse: () => done('refused') });
        if (queue.length <= LAST_QUEUE) return;
        const last = Math.max(...queue.map((one) => one.rank));
        const [dropped] = queue.splice(
          queue.findLastIndex((one) => one.rank === last),
          1,
        );
        dropped!.refuse();
      },
    };
  };
  const lastNodes = Array.from({ length: LAST_NODES }, createLastNode);
  const startNodes = START_NODES.map((length) =>
    Array.from({ length }, () => createNestedShares(clock)),
  );
  const entries = Array.from({ length: ENTRY_NODES }, () => ({
    reporting: createEntryThrottle({
      clock,
      random,
      logger: createSilentLogger(),
      refusesEarly: true,
    }),
    alone: createRouteThrottle(clock, random),
  }));
  const returns: { readonly at: number; readonly rank: number }[] = [];
  let lastCalls = 0;

  const runLast = (left: number, rank: number, deadline: number, done: Done): void => {
    if (left === 0 || now >= deadline) {
      done(now < deadline ? 'served' : 'late');
      return;
    }
    const one = lastNodes[random.nextInteger(LAST_NODES)]!;
    const other = lastNodes[random.nextInteger(LAST_NODES)]!;
    lastCalls += 1;
    (one.load() <= other.load() ? one : other).call(rank, deadline, (ending) => {
      if (ending === 'served') runLast(left - 1, rank, deadline, done);
      else done(ending);
    });
  };
  const runChain = (services: number, rank: number, deadline: number, done: Done): void =>
    after(logNormal(OWN_WORK_MILLISECONDS, 0.5), () => {
      if (services > 1) runChain(services - 1, rank, deadline, done);
      else runLast(1 + random.nextInteger(4), rank, deadline, done);
    });

  const send = (request: SimulatedRequest, isReturn: boolean): void => {
    const { rank } = request;
    const route = ROUTES[request.route]!;
    const deadline = request.arrivedMilliseconds + TIMEOUT_MILLISECONDS;
    const entry = entries[random.nextInteger(ENTRY_NODES)]!;
    const remainingMilliseconds = deadline - now;
    const comeBack = (delay: number): void => {
      if (isReturn || delay > remainingMilliseconds / 3) return;
      returns.push({ at: now + delay, rank });
      after(delay, () => send(request, true));
    };
    const run = (finish: (isSuccess: boolean, isNestedRefused: boolean) => void): void => {
      const nodes = startNodes[request.route]!;
      const node = nodes[random.nextInteger(nodes.length)]!;
      Object.assign(request, { runs: request.runs + 1 });
      runChain(CHAIN_LENGTHS[request.route]!, rank, deadline, (ending) => {
        const isServed = ending === 'served';
        const isNestedRefused = ending === 'refused';
        Object.assign(request, { isServed });
        node.record({ route, isParent: true, isRefused: isNestedRefused });
        const nestedShare = node.shareOf(route);
        entry.reporting.recordAttempt({ route, isNested: false }, { nestedShare });
        finish(isServed, isNestedRefused);
      });
    };
    if (!options.usesReports) {
      const started = entry.alone.tryStart(`${route}/${rank}`);
      if (started) run(started.finish);
      else comeBack(computeRetryAfter(random, rank, undefined));
      return;
    }
    const decision = entry.reporting.start({ route, rank, remainingMilliseconds });
    if (decision.kind === 'started') {
      run((isSuccess, isNestedRefused) => decision.finish({ isSuccess, isNestedRefused }));
    } else if (decision.kind === 'no-capacity') comeBack(decision.retryAfterMilliseconds);
    else comeBack(computeRetryAfter(random, rank, undefined));
  };

  const requests: SimulatedRequest[] = [];
  const arrive = (): void => {
    let end = 0;
    const phase = options.phases.find(({ milliseconds }) => {
      end += milliseconds;
      return now < end;
    });
    if (!phase) return;
    const draw = random.next();
    const rank = RANKS.findIndex((bound) => draw < bound);
    const route = random.nextInteger(ROUTES.length);
    const request = { arrivedMilliseconds: now, rank, route, runs: 0, isServed: false };
    requests.push(request);
    send(request, false);
    after((-Math.log(1 - random.next()) * 1_000) / (REQUESTS_PER_SECOND * phase.factor), arrive);
  };
  arrive();
  for (let event = events.pop(); event; event = events.pop()) {
    now = event.at;
    event.run();
  }
  return { requests, returns, lastCalls: () => lastCalls };
}
