/** A valid manifest for two regions. Manifests with different releases have different digests. */
export function testManifest(release: string): string {
  return `release = "${release}"
[regions.riga]
zones = ["riga-a"]
[regions.daugavpils]
zones = ["daugavpils-a"]
[services.balances]
[[routes]]
name = "read-balances"
service = "balances"
methods = ["GET"]
path_prefix = "/balances"
[[accounts]]
id = "jelgava"
rate_per_second = 1
`;
}
