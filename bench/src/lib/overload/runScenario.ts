import { createFakeClock, createSeededRandom } from '@buckthornslip/common';

import { createServeWithControl, createServeWithoutControl } from './createServe';
import { createRunStatistics } from './createRunStatistics';
import type { RunStatistics } from './createRunStatistics';
import { createUpstreamModel } from './createUpstreamModel';
import { runClients } from './runClients';
import type { Scenario } from './Scenario';

const SERVICE_MILLISECONDS = 20;

/**
 * @param scenario - Parameters of the run.
 * @returns Statistics of the run.
 */
export async function runScenario(scenario: Scenario): Promise<RunStatistics> {
  const { control, trigger, workers } = scenario;
  const clock = createFakeClock();
  const random = createSeededRandom(scenario.seed);
  const upstream = createUpstreamModel(clock, random, workers, SERVICE_MILLISECONDS);
  const serve = control
    ? createServeWithControl(clock, upstream, scenario.announcedSlots)
    : createServeWithoutControl(clock, upstream);
  const capacityPerSecond = (workers * 1_000) / SERVICE_MILLISECONDS;
  const isTriggered = (now: number): boolean =>
    trigger !== undefined && now >= trigger.fromMilliseconds && now < trigger.untilMilliseconds;
  if (trigger) {
    clock.setTimer(trigger.fromMilliseconds, () => upstream.setSlowness(trigger.slowness));
    clock.setTimer(trigger.untilMilliseconds, () => upstream.setSlowness(1));
  }
  const statistics = createRunStatistics();
  void runClients(scenario, clock, random, statistics, serve, (now) => {
    const factor = isTriggered(now) ? (trigger?.demandFactor ?? 1) : 1;
    return capacityPerSecond * scenario.demand * factor;
  });
  await clock.advance(scenario.durationMilliseconds);
  return statistics;
}
