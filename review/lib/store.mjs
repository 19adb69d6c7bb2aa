import { createServer } from 'node:http';

const compareKeys = (left, right) => (left < right ? -1 : Number(left > right));

const parseTime = (text) => {
  const [, number, unit] = /^([\d.]+)(ms|s)$/.exec(text);
  return Number(number) * (unit === 's' ? 1000 : 1);
};

async function readJson(request) {
  const chunks = [];
  for await (const chunk of request) chunks.push(chunk);
  const text = Buffer.concat(chunks).toString('utf8');
  return text === '' ? {} : JSON.parse(text);
}

/**
 * A small stand-in of the platform's store: items, leases, transactions and watches as PROTOCOL.md describes them. Each machine
 * has a listener of its own, so that the path between it and the store can be cut.
 */
export function createStore({ rewrite = (value) => value } = {}) {
  const items = new Map();
  const leases = new Map();
  const history = [];
  const waiting = new Set();
  const servers = [];
  let revision = 1;
  let nextLease = 1;

  const changed = (event) => {
    history.push(event);
    [...waiting].forEach((wake) => wake());
  };
  const put = (key, value, lease = 0) => {
    const createRev = items.get(key)?.createRev ?? revision;
    items.set(key, { key, value, rev: revision, createRev, lease });
    changed(items.get(key));
  };
  const remove = (key) => {
    if (items.delete(key)) changed({ key, rev: revision, tombstone: true });
  };
  const endLease = (id) => {
    clearTimeout(leases.get(id)?.timer);
    if (!leases.delete(id)) return;
    const keys = [...items.values()].filter(({ lease }) => lease === id).map(({ key }) => key);
    if (keys.length > 0) revision += 1;
    keys.forEach(remove);
  };
  const renew = (id) => {
    const lease = leases.get(id);
    clearTimeout(lease.timer);
    lease.timer = setTimeout(() => endLease(id), lease.milliseconds);
  };

  const watch = (query) =>
    new Promise((resolve) => {
      const after = Number(query.get('after'));
      const prefix = query.get('prefix');
      const eventsNow = () =>
        history.filter(({ key, rev }) => rev > after && key.startsWith(prefix));
      let timer;
      let check;
      const finish = () => {
        clearTimeout(timer);
        waiting.delete(check);
        resolve([200, { events: eventsNow(), storeRevision: revision }]);
      };
      check = () => {
        if (eventsNow().length > 0) finish();
      };
      timer = setTimeout(finish, Number(query.get('waitMs')));
      waiting.add(check);
      check();
    });

  const transact = ({ expected = [], puts = [], remove: removed = [] }) => {
    const differs = expected.some(({ key, rev }) => (items.get(key)?.rev ?? 0) !== rev);
    if (differs) {
      const current = expected.map(({ key }) => items.get(key)).filter(Boolean);
      return [412, { items: current }];
    }
    if (puts.some(({ lease }) => lease && !leases.has(lease))) return [404, {}];
    revision += 1;
    puts.forEach(({ key, value, lease }) => put(key, value, lease));
    removed.forEach(remove);
    return [200, { rev: revision }];
  };

  const handlers = {
    'GET /kv-key': (query) => {
      const item = items.get(query.get('key'));
      return item ? [200, { ...item, storeRevision: revision }] : [404, {}];
    },
    'GET /kv-range': (query) => {
      const after = query.get('after') ?? '';
      const found = [...items.values()]
        .filter(({ key }) => key.startsWith(query.get('prefix')) && key > after)
        .sort((left, right) => compareKeys(left.key, right.key));
      return [200, { items: found, morePages: false, storeRevision: revision }];
    },
    'GET /kv-watch': watch,
    'POST /kv-txn': (_query, body) => transact(body),
    'POST /kv-lease': (_query, body) => {
      const id = nextLease;
      nextLease += 1;
      leases.set(id, { milliseconds: parseTime(body.ttl_time) });
      renew(id);
      return [200, { lease: id, ttl_time: body.ttl_time }];
    },
    'POST /kv-keep': (_query, _body, id) => {
      if (!leases.has(id)) return [404, {}];
      renew(id);
      return [200, { ttl_time: `${leases.get(id).milliseconds}ms` }];
    },
    'DELETE /kv-lease-end': (_query, _body, id) => {
      endLease(id);
      return [200, {}];
    },
  };

  const rewriteItem = (item) =>
    item.value === undefined ? item : { ...item, value: rewrite(item.value) };
  const rewriteReply = (reply) => {
    if (reply.items) return { ...reply, items: reply.items.map(rewriteItem) };
    if (reply.events) return { ...reply, events: reply.events.map(rewriteItem) };
    return rewriteItem(reply);
  };

  return {
    /** Writes the configuration, as the operator does. */
    publish: (configuration) => {
      revision += 1;
      put('op/config', Buffer.from(JSON.stringify(configuration)).toString('base64'));
    },
    /** Opens the path of one machine to the store. */
    listen: async (address) => {
      const sockets = new Set();
      let isCut = false;
      const server = createServer((request, response) => {
        const url = new URL(request.url, 'http://store');
        const [, path, id] = url.pathname.split('/');
        const handler = handlers[`${request.method} /${path}`] ?? (() => [404, {}]);
        readJson(request)
          .then((body) => handler(url.searchParams, body, Number(id)))
          .then(([status, reply]) => {
            response.writeHead(status, { 'Content-Type': 'application/json' });
            response.end(JSON.stringify(rewriteReply(reply)));
          })
          .catch(() => response.destroy());
      });
      server.on('connection', (socket) => {
        if (isCut) socket.resetAndDestroy();
        sockets.add(socket);
        socket.on('error', () => undefined);
        socket.once('close', () => sockets.delete(socket));
      });
      servers.push({ server, sockets });
      await new Promise((resolve) => {
        server.listen(0, address, resolve);
      });
      return {
        address: `${address}:${server.address().port}`,
        setCut: (cut) => {
          isCut = cut;
          if (cut) sockets.forEach((socket) => socket.resetAndDestroy());
        },
      };
    },
    close: () => {
      leases.forEach(({ timer }) => clearTimeout(timer));
      servers.forEach(({ server, sockets }) => {
        server.close();
        sockets.forEach((socket) => socket.destroy());
      });
    },
  };
}
