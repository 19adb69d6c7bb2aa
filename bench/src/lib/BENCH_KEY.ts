/**
 * Key of the client account on whose behalf the load generators send requests.
 *
 * @internal
 */
export const BENCH_KEY = 'bench-key-5b1f0c9d7e';
