import { connect, createServer } from 'node:net';

import { ports } from './settings.mjs';

/**
 * The network between the machines. Each machine listens at `real` and is reached by the others through a proxy at `alias`, an
 * address of the same length; the proxy translates the addresses that nodes tell each other, as an address translation does.
 */
export function createNetwork({ real, alias }) {
  const links = new Set();
  const servers = [];
  const cut = new Set();
  const sockets = new Set();

  const translate = (bytes) => {
    if (!bytes.includes(real)) return bytes;
    return Buffer.from(bytes.toString('latin1').replaceAll(real, alias), 'latin1');
  };

  const isCut = ({ from, to }) => cut.has(to) || cut.has(from);

  const reset = (link) => {
    links.delete(link);
    link.caller.resetAndDestroy();
    link.callee.resetAndDestroy();
  };

  const accept = (caller, to, names) => {
    const callee = connect({ host: `${real}${to}`, port: ports.inbound });
    const link = { caller, callee, from: undefined, to };
    links.add(link);
    caller.on('data', (bytes) => {
      // The first message of a connection names the calling machine.
      link.from ??= names.find(({ name }) => bytes.includes(name))?.number;
      if (isCut(link)) reset(link);
      else callee.write(translate(bytes));
    });
    callee.on('data', (bytes) => caller.write(translate(bytes)));
    [caller, callee].forEach((socket) => {
      socket.setNoDelay(true);
      socket.on('error', () => undefined);
      sockets.add(socket);
      socket.once('close', () => sockets.delete(socket));
    });
    caller.once('close', () => {
      links.delete(link);
      callee.destroy();
    });
    callee.once('close', () => {
      links.delete(link);
      caller.destroy();
    });
    if (isCut(link)) reset(link);
  };

  return {
    /** Opens the path to one machine. */
    listen: async (number, names) => {
      const server = createServer((caller) => accept(caller, number, names));
      servers.push(server);
      await new Promise((resolve) => {
        server.listen(ports.inbound, `${alias}${number}`, resolve);
      });
    },
    /** Cuts a machine off from all others: open connections are reset, and new ones as well. */
    setCut: (number, isCutOff) => {
      if (isCutOff) cut.add(number);
      else cut.delete(number);
      [...links].filter(isCut).forEach(reset);
    },
    close: () => {
      servers.forEach((server) => server.close());
      sockets.forEach((socket) => socket.destroy());
    },
  };
}
