import type { DemoHost } from './DemoHost';

/**
 * @param host - Host of the node.
 * @param storeAddress - "address:port" of the store.
 * @param secretFile - Path of the file with the fleet secret.
 * @returns Contents of the node's settings file.
 */
export function formatSettings(host: DemoHost, storeAddress: string, secretFile: string): string {
  const { ports } = host;
  return `host = "${host.host}"
region = "${host.region}"
zone = "${host.zone}"
fleet_secret_file = "${secretFile}"
log_level = "warn"

[listeners]
callers = "127.0.0.1:${ports.callers}"
outgoing = "127.0.0.1:${ports.outgoing}"
peers = "127.0.0.1:${ports.peers}"
control = "127.0.0.1:${ports.control}"
admin = "127.0.0.1:${ports.admin}"

[store]
endpoints = ["${storeAddress}"]
`;
}
