import type { CostKey } from './CostKey';
import { createMeanTable } from './createMeanTable';
import type { MeanTable } from './createMeanTable';
import { HASH_START, hashText } from './hashText';
import { sizeClass } from './sizeClass';

/** Combinations of route, account, method and size that are remembered; more share the estimate of their route. */
const COMBINATION_ENTRIES = 4_093;

const ROUTE_ENTRIES = 509;

const SERVICE_ENTRIES = 509;

/**
 * Samples that the estimate of the wider class counts for. Service times of one class vary by about their mean, so the
 * mean of eight is still off by a third.
 */
const PRIOR_SAMPLES = 8;

/** Largest ratio between a sample, or an estimate, and the mean of the class. */
const MAXIMUM_RATIO = 8;

/** Samples of a class from which on it bounds new samples. */
const MINIMUM_CLASS_SAMPLES = 8;

/**
 * Expected service time of calls, learned from the calls that ended.
 *
 * @public
 */
export interface CostEstimates {
  /** @returns Expected service time, in milliseconds; 0 if no call of the service has been observed. */
  readonly expected: (key: CostKey) => number;
  /**
   * @param key - Properties of a call that ended.
   * @param milliseconds - Its service time.
   */
  readonly observe: (key: CostKey, milliseconds: number) => void;
}

/**
 * Creates estimates by route, account, method and size class, in tables of fixed size. A combination with few samples
 * falls back to its route, and a route to its service.
 *
 * @returns Estimates without samples.
 * @public
 */
export function createCostEstimates(): CostEstimates {
  const combinations = createMeanTable(COMBINATION_ENTRIES);
  const routes = createMeanTable(ROUTE_ENTRIES);
  const services = createMeanTable(SERVICE_ENTRIES);

  const serviceHash = (key: CostKey): number => hashText(HASH_START, key.service);
  const routeHash = (key: CostKey, service: number): number => hashText(service, key.route);
  const combinationHash = (key: CostKey, route: number): number =>
    hashText(hashText(route, key.account ?? '') + sizeClass(key.bodyBytes), key.method);

  const blend = (table: MeanTable, hash: number, prior: number): number => {
    const samples = table.samples(hash);
    if (samples === 0) return prior;
    if (prior === 0) return table.mean(hash);
    return (samples * table.mean(hash) + PRIOR_SAMPLES * prior) / (samples + PRIOR_SAMPLES);
  };

  const limit = (value: number, mean: number): number =>
    Math.min(mean * MAXIMUM_RATIO, Math.max(mean / MAXIMUM_RATIO, value));

  const classMean = (service: number, route: number): number =>
    blend(routes, route, services.samples(service) > 0 ? services.mean(service) : 0);

  return {
    expected: (key) => {
      const service = serviceHash(key);
      const route = routeHash(key, service);
      const mean = classMean(service, route);
      return limit(blend(combinations, combinationHash(key, route), mean), mean);
    },
    observe: (key, milliseconds) => {
      if (!(milliseconds >= 0) || milliseconds === Infinity) return;
      const service = serviceHash(key);
      const route = routeHash(key, service);
      const isBounded = routes.samples(route) >= MINIMUM_CLASS_SAMPLES;
      const value = isBounded ? limit(milliseconds, routes.mean(route)) : milliseconds;
      services.add(service, value);
      routes.add(route, value);
      combinations.add(combinationHash(key, route), value);
    },
  };
}
