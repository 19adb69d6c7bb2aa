/** Shortest response timeout in milliseconds. A round trip between regions takes 30 ms. */
const MINIMUM_MILLISECONDS = 150;

/** Longest response timeout, in milliseconds; a call waits for a token for two seconds at most. */
const MAXIMUM_MILLISECONDS = 1_200;

/** Timeout per response time of the last answer. */
const RESPONSE_TIME_FACTOR = 3;

/**
 * Response timeouts of token servers, by address.
 *
 * @internal
 */
export interface ResponseTimeouts {
  /** @returns Timeout of the next request, in milliseconds. */
  readonly of: (address: string) => number;
  readonly recordAnswer: (address: string, responseMilliseconds: number) => void;
  readonly recordTimeout: (address: string) => void;
}

/**
 * Creates response timeouts that adapt to the servers. A timeout that is always shorter than the response time of a busy
 * server would discard each of its answers, and the tokens in them.
 *
 * @returns The shortest timeout for each server.
 * @internal
 */
export function createResponseTimeouts(): ResponseTimeouts {
  const timeouts = new Map<string, number>();
  const timeoutOf = (address: string): number => timeouts.get(address) ?? MINIMUM_MILLISECONDS;
  const set = (address: string, milliseconds: number): void => {
    // Only servers with another timeout are kept, so that addresses of hosts that are gone don't accumulate.
    if (milliseconds <= MINIMUM_MILLISECONDS) timeouts.delete(address);
    else timeouts.set(address, Math.min(MAXIMUM_MILLISECONDS, milliseconds));
  };
  return {
    of: timeoutOf,
    recordAnswer: (address, responseMilliseconds) =>
      set(address, responseMilliseconds * RESPONSE_TIME_FACTOR),
    recordTimeout: (address) => set(address, timeoutOf(address) * 2),
  };
}
