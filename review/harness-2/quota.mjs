/** Bounds of the rule QUOTA as the small sites set them. */
const WINDOW_MS = 5_000;
const OVER = 0.1;
const SLACK = 20;

const MILLISECONDS = 1_000;

/** Returns the most requests of a tenant that may be sent and run in one window. */
export function mostInWindow({ burst, ratePerS }) {
  return Math.floor((ratePerS * (WINDOW_MS / MILLISECONDS) + burst) * (1 + OVER) + SLACK);
}

/**
 * Finds the window with the most requests that were both sent and run in it.
 *
 * @param requests - sentMs and ranMs of each request that ran.
 * @returns The start of the window and the number of requests.
 */
export function fullestWindow(requests) {
  let fullest = { fromMs: 0, count: 0 };
  for (const { sentMs: fromMs } of requests) {
    const isIn = ({ ranMs, sentMs }) => sentMs >= fromMs && ranMs <= fromMs + WINDOW_MS;
    const count = requests.filter(isIn).length;
    if (count > fullest.count) fullest = { fromMs, count };
  }
  return fullest;
}

/** Joins what clients sent with what back ends ran. */
export function ranRequests(sent, runs) {
  const ranMsOf = new Map(runs.map(({ atMs, id }) => [id, atMs]));
  return sent
    .filter(({ id }) => ranMsOf.has(id))
    .map(({ id, sentMs }) => ({ id, sentMs, ranMs: ranMsOf.get(id) }));
}
