import type { AccountId, RegionId } from '@buckthornslip/common';
import { createFakeClock } from '@buckthornslip/common';
import type { CallPolicy } from '@buckthornslip/config';
import { createEventLogger } from '@buckthornslip/telemetry';
import t from 'tap';

import { createSidecarMetrics } from '../process/createSidecarMetrics';
import { createPolicyFaultReporter } from './createPolicyFaultReporter';
import { createRegionCheck } from './createRegionCheck';

const regionsOf = (...names: string[]): ReadonlySet<RegionId> => new Set(names as RegionId[]);

const policyOf = (revision: number): CallPolicy =>
  ({
    revision,
    routes: [
      { name: 'read', allowedRegions: regionsOf('riga', 'atlantis') },
      { name: 'write', allowedRegions: undefined },
    ],
    accounts: new Map([['family' as AccountId, { id: 'family', allowedRegions: regionsOf('mu') }]]),
  }) as unknown as CallPolicy;

// Guards against a misspelt region of which nobody learns, and against reports of a region that only is cut off.
void t.test('regions without a node are logged and counted once per policy', async (test) => {
  const clock = createFakeClock();
  const metrics = createSidecarMetrics();
  const lines: string[] = [];
  const logger = createEventLogger({
    name: 'test',
    level: 'info',
    write: (text) => lines.push(text),
  });
  let known = regionsOf('riga');
  const check = createRegionCheck({
    clock,
    knownRegions: () => known,
    report: createPolicyFaultReporter(logger, metrics),
  });
  check.start(policyOf(1));
  await clock.advance(5_000);
  check.start(policyOf(2));
  await clock.advance(10_000);
  test.equal(lines.length, 1);
  test.match(JSON.parse(lines[0] as string), {
    event: 'policyFaulty',
    revision: 2,
    count: 2,
    faults: [
      'route read, region atlantis: region-unknown',
      'account family, region mu: region-unknown',
    ],
  });
  test.match(await metrics.text(), 'buckthornslip_policy_faults_total{kind="region-unknown"} 2');
  known = regionsOf('mu', 'atlantis');
  check.start(policyOf(3));
  await clock.advance(10_000);
  test.equal(lines.length, 1);
});
