import type { AccountFlow } from './AccountFlow';
import type { QueuedCall } from './QueuedCall';

/**
 * Finds the oldest call at the deepest or shallowest depth of a flow. Call chains are a dozen calls
 * deep at most, so that the number of depths stays small.
 *
 * @param flow - The flow.
 * @param end - Deepest for the call to run next, shallowest for the call to drop next.
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
