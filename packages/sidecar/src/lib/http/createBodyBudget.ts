/**
 * Limits the memory of request bodies that are kept whole, over all requests of the process.
 *
 * @internal
 */
export interface BodyBudget {
  /** @returns A function that gives the bytes back, or undefined if the budget is exhausted. */
  readonly reserve: (bytes: number) => (() => void) | undefined;
}

/**
 * @param limitBytes - Most bytes that are reserved at the same time.
 * @returns A budget of which nothing is reserved.
 * @internal
 */
export function createBodyBudget(limitBytes: number): BodyBudget {
  let reservedBytes = 0;
  return {
    reserve: (bytes) => {
      if (reservedBytes + bytes > limitBytes) return undefined;
      reservedBytes += bytes;
      let isReserved = true;
      return () => {
        if (isReserved) reservedBytes -= bytes;
        isReserved = false;
      };
    },
  };
}
