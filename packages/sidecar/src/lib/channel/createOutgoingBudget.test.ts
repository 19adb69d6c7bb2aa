import t from 'tap';

import { createOutgoingBudget } from './createOutgoingBudget';
import type { FrameConnection } from './FrameConnection';

const LIMIT_BYTES = 8_388_608;
const ANSWER_BYTES = 65_536;
const CONNECTIONS = 40;

function createConnection() {
  let pending = 0;
  const connection: FrameConnection = {
    send: () => {
      pending += ANSWER_BYTES;
    },
    lastReceivedMilliseconds: () => 0,
    pendingBytes: () => pending,
    whenDrained: async () => undefined,
    destroy: () => undefined,
  };
  return { connection, pending: () => pending };
}

function fill(budget: ReturnType<typeof createOutgoingBudget>, connection: FrameConnection): void {
  while (budget.hasRoom(connection)) connection.send({ $case: 'ping', value: { sequence: 0 } });
}

// Guards against answers that fill the memory of a serving node because many entry nodes do not read them.
void t.test('connections that do not drain stay within the limit together', async (test) => {
  const budget = createOutgoingBudget(LIMIT_BYTES);
  const connections = Array.from({ length: CONNECTIONS }, createConnection);
  connections.forEach(({ connection }) => budget.add(connection));
  connections.forEach(({ connection }) => fill(budget, connection));
  const bytes = connections.reduce((sum, { pending }) => sum + pending(), 0);
  test.ok(bytes <= LIMIT_BYTES + CONNECTIONS * 2 * ANSWER_BYTES, `${bytes} bytes`);
});

// Guards against an entry node that does not read its answers and keeps those of the others from being sent.
void t.test('a connection that does not drain leaves room for others', async (test) => {
  const budget = createOutgoingBudget(LIMIT_BYTES);
  const [stalled, other] = [createConnection(), createConnection()];
  [stalled, other].forEach(({ connection }) => budget.add(connection));
  fill(budget, stalled.connection);
  fill(budget, other.connection);
  test.ok(other.pending() >= LIMIT_BYTES / 4, `${other.pending()} bytes`);
  budget.remove(stalled.connection);
  test.ok(budget.hasRoom(other.connection));
});
