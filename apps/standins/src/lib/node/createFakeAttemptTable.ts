import type { AttemptResult, AttemptTable } from '@buckthornslip/calls';

/**
 * @returns An attempt table that never removes an entry.
 * @internal
 */
export function createFakeAttemptTable(): AttemptTable {
  const attempts = new Map<
    string,
    { readonly result: Promise<AttemptResult>; readonly finish: (result: AttemptResult) => void }
  >();
  const add = (attemptId: string): void => {
    let finish: (result: AttemptResult) => void = () => undefined;
    const result = new Promise<AttemptResult>((resolve) => {
      finish = resolve;
    });
    attempts.set(attemptId, { result, finish });
  };
  return {
    enter: (attemptId) => {
      const known = attempts.get(attemptId);
      if (known !== undefined) return { kind: 'known', result: known.result };
      add(attemptId);
      return { kind: 'new' };
    },
    find: (attemptId) => attempts.get(attemptId)?.result,
    finish: (attemptId, result) => attempts.get(attemptId)?.finish(result),
  };
}
