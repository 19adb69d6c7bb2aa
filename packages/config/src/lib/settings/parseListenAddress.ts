import { isIP } from 'node:net';

import type { ListenAddress } from './ListenAddress';

const MAXIMUM_PORT = 65_535;

/**
 * @param text - IP address and port, for example "10.0.0.7:8080" or "[fd00::7]:8080".
 * @returns The address, or undefined if the text is invalid.
 * @internal
 */
export function parseListenAddress(text: string): ListenAddress | undefined {
  const match = /^(?:\[([0-9a-fA-F:.]+)\]|([0-9.]+)):([0-9]{1,5})$/.exec(text);
  if (match === null) return undefined;
  const [, version6, version4, portText] = match;
  const address = version6 ?? version4 ?? '';
  const port = Number(portText);
  const isValid = isIP(address) === (version6 === undefined ? 4 : 6);
  return isValid && port >= 1 && port <= MAXIMUM_PORT ? { address, port } : undefined;
}
