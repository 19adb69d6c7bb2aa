/** High enough that no call of the benchmark is refused. */
const RATE_PER_SECOND = 100_000;

/**
 * @param services - Number of services, "service-0" and so on, each with a route "/service-0".
 * @param accounts - Number of client accounts, "account-0" and so on.
 * @returns Manifest as TOML.
 * @internal
 */
export function formatManifest(services: number, accounts: number): string {
  const each = (count: number, format: (index: number) => string): string =>
    Array.from({ length: count }, (_, index) => format(index)).join('\n');
  return `release = "capacity-${services}-${accounts}"
[regions.riga]
zones = ["riga-a"]
[limits]
deadline_milliseconds = 5000
body_limit_bytes = 262144
retry_budget = 3
${each(services, (index) => `[services.service-${index}]`)}
${each(
  services,
  (index) => `[[routes]]
name = "route-${index}"
service = "service-${index}"
methods = ["GET"]
path_prefix = "/service-${index}"`,
)}
${each(
  services,
  (index) => `[[routes]]
name = "claim-${index}"
service = "service-${index}"
methods = ["POST"]
path_prefix = "/service-${index}"`,
)}
${each(
  accounts,
  (index) => `[[accounts]]
id = "account-${index}"
rate_per_second = ${RATE_PER_SECOND}
burst = ${RATE_PER_SECOND}`,
)}
`;
}
