import { connect } from 'node:net';

/** Where to connect. */
interface Address {
  readonly host: string;
  readonly port: number;
}

/** Timeout for connecting, in milliseconds. */
const CONNECT_TIMEOUT_MILLISECONDS = 300;

/**
 * Tries once to connect to an address.
 *
 * @param address - Host and port.
 * @returns Whether the connection was refused, which proves that no process is listening there.
 * @public
 */
export function refusesConnections(address: Address): Promise<boolean> {
  return new Promise((resolve) => {
    const socket = connect({
      host: address.host,
      port: address.port,
      timeout: CONNECT_TIMEOUT_MILLISECONDS,
    });
    const finish = (refused: boolean): void => {
      socket.destroy();
      resolve(refused);
    };
    socket.once('connect', () => finish(false));
    socket.once('timeout', () => finish(false));
    socket.once('error', (error: NodeJS.ErrnoException) => finish(error.code === 'ECONNREFUSED'));
  });
}
