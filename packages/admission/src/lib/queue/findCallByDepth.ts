import type { AccountFlow } from './AccountFlow';
import type { QueuedCall } from './QueuedCall';

/**
 * Finds the oldest call at the greatest or smallest depth of a flow. Call chains are at most about a dozen calls deep,
 * so scanning the depths is cheap.
 *
 * @param flow - The flow.
 * @param end - `deepest` for the next call to run, `shallowest` for the next call to drop.
 * @returns The call, or undefined if the flow is empty.
 * @internal
 */
export function findCallByDepth(
  flow: AccountFlow,
  end: 'deepest' | 'shallowest',
): QueuedCall | undefined {
  let found: number | undefined;
  for (const depth of flow.callsByDepth.keys()) {
    const isBetter = found === undefined || (end === 'deepest' ? depth > found : depth < found);
    if (isBetter) found = depth;
  }
  if (found === undefined) return undefined;
  const [first] = flow.callsByDepth.get(found) ?? [];
  return first;
}
