import { createServer, connect } from 'node:net';

/**
 * Passes connections on to a node's address for heartbeats. While it holds, what arrives is delivered later, on a connection of
 * its own, as a heartbeat that was on its way for seconds.
 */
export async function createHeartbeatProxy(target, record) {
  const [targetHost, targetPort] = target.split(':');
  let holdMs = 0;
  const open = () => connect(Number(targetPort), targetHost);
  const server = createServer((socket) => {
    socket.on('error', () => socket.destroy());
    if (holdMs > 0) {
      const chunks = [];
      socket.on('data', (chunk) => chunks.push(chunk));
      setTimeout(() => {
        const late = open();
        late.on('error', () => late.destroy());
        late.on('data', (answer) =>
          record.write(`late heartbeat is answered: ${answer.toString().split('\r\n')[0]}`),
        );
        record.write('late heartbeat arrives');
        late.write(Buffer.concat(chunks));
      }, holdMs);
      return;
    }
    const onward = open();
    onward.on('error', () => socket.destroy());
    socket.pipe(onward).pipe(socket);
  });
  await new Promise((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  server.unref();
  return {
    address: `127.0.0.1:${server.address().port}`,
    setHoldMs: (next) => {
      holdMs = next;
    },
  };
}
