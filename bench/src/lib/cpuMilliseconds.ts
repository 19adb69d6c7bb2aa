/**
 * @returns CPU time used by this process so far, in milliseconds.
 * @internal
 */
export function cpuMilliseconds(): number {
  const { system, user } = process.cpuUsage();
  return (system + user) / 1000;
}
