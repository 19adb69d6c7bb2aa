/**
 * Coalesces concurrent runs of a task. While it runs, all further calls with the same arguments share one more run,
 * which starts when the current one ends and therefore observes everything that happened before these calls.
 *
 * @param task - The task.
 * @returns The coalesced task.
 * @internal
 */
export function coalesceRuns<Arguments extends readonly string[], Value>(
  task: (...names: Arguments) => Promise<Value>,
): (...names: Arguments) => Promise<Value> {
  const running = new Map<string, Promise<Value>>();
  const waiting = new Map<string, Promise<Value>>();

  const start = (name: string, names: Arguments): Promise<Value> => {
    const run = task(...names).finally(() => running.delete(name));
    running.set(name, run);
    return run;
  };

  return (...names) => {
    const name = names.join(' ');
    const current = running.get(name);
    if (current === undefined) return start(name, names);
    const next =
      waiting.get(name) ??
      current
        .catch(() => undefined)
        .then(() => {
          waiting.delete(name);
          return start(name, names);
        });
    waiting.set(name, next);
    return next;
  };
}
