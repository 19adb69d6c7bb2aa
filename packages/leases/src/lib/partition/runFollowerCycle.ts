import { leaseKey } from '../record/leaseKey';
import type { LeaseContext } from './LeaseContext';
import { observeEntry } from './observeEntry';
import type { PartitionState } from './PartitionState';
import { planTakeover } from './planTakeover';
import { takeOver } from './takeOver';

/**
 * Reads the record once and takes over if this is allowed.
 *
 * @internal
 */
export async function runFollowerCycle(
  context: LeaseContext,
  state: PartitionState,
): Promise<void> {
  const result = await context.read(leaseKey(state.partition));
  if (!result.ok) return;
  observeEntry(context, state, result.value);
  if (state.tenure) return;
  const plan = planTakeover(context, state);
  const now = context.clock.monotonicMilliseconds();
  if (plan && now >= plan.fromMilliseconds) await takeOver(context, state, plan);
}
