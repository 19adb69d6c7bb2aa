import { connect } from 'node:net';

/**
 * Sends raw bytes over a TCP connection and collects what is received.
 *
 * @param address - "address:port".
 * @param parts - Strings to send, 30 ms apart.
 * @param limitMilliseconds - Longest wait for the end of the connection, in milliseconds.
 * @returns Text received, and whether the connection was closed, failed or is still open.
 * @public
 */
export function sendRaw(
  address: string,
  parts: readonly string[],
  limitMilliseconds = 1_000,
): Promise<{ readonly text: string; readonly end: 'closed' | 'error' | 'open' }> {
  const [host, port] = address.split(':');
  return new Promise((resolve) => {
    const socket = connect(Number(port), host);
    let text = '';
    let timer: NodeJS.Timeout | undefined;
    const finish = (end: 'closed' | 'error' | 'open'): void => {
      clearTimeout(timer);
      resolve({ text, end });
      socket.destroy();
    };
    timer = setTimeout(() => finish('open'), limitMilliseconds);
    socket.on('data', (chunk) => {
      text += chunk.toString('latin1');
    });
    socket.once('error', () => finish('error')).once('close', () => finish('closed'));
    const [first = '', ...rest] = parts;
    socket.write(first);
    rest.forEach((part, index) => {
      setTimeout(() => socket.writable && socket.write(part), 30 * (index + 1));
    });
  });
}
