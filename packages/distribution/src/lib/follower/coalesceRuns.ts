/**
 * Lets callers share a task: while it runs, each further call with the same argument waits for one more run, which
 * starts when the first ends and so sees everything that happened before the call.
 *
 * @param task - The task.
 * @returns The shared task.
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
