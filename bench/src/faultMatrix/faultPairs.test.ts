import assert from 'node:assert/strict';

import fc from 'fast-check';
import t from 'tap';

import { startCallFixture } from './startCallFixture';
import { observeCall } from './checkCall';
import type { Fault } from './faults';
import { faultInjectors } from './faultInjectors';
import { callSteps } from './rows';

const SEED = 1_204;
const RUNS = 34;
const FIRST_BYTE_MILLISECONDS = 400;

const pairs = fc.record({
  repeatable: fc.boolean(),
  faults: fc.uniqueArray(fc.constantFrom(...(Object.keys(faultInjectors) as Fault[])), {
    minLength: 2,
    maxLength: 2,
  }),
  steps: fc.tuple(fc.constantFrom(...callSteps), fc.constantFrom(...callSteps)),
});

// Guards against invariants that hold under each fault alone but are violated by two faults during one call.
void t.test('the invariants hold under two faults during one call', async (test) => {
  let injected = 0;
  const property = fc.asyncProperty(pairs, async ({ faults, repeatable, steps }) => {
    const fixture = await startCallFixture({
      repeatable,
      firstByteMilliseconds: FIRST_BYTE_MILLISECONDS,
    });
    try {
      const injections = faults.map((fault, index) => ({ fault, step: steps[index] ?? steps[0] }));
      const observation = await observeCall(fixture, repeatable, injections);
      injected += observation.injected;
      assert.ok(observation.injected > 0, 'no fault was injected');
    } finally {
      await fixture.close();
    }
  });
  await fc.assert(property, { seed: SEED, numRuns: RUNS, endOnFailure: true });
  test.comment(`${RUNS} runs, ${injected} faults injected, seed ${SEED}`);
  test.ok(injected > RUNS, 'most runs have both faults');
});
