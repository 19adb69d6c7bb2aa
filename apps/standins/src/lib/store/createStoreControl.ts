import { createServer, type IncomingMessage, type Server } from 'node:http';

import type { StoreServer } from '@buckthornslip/platform';

import { readAll } from '../http/readAll';
import { storeFaultsSchema } from './storeFaultsSchema';

async function changeFaults(store: StoreServer, request: IncomingMessage): Promise<string[]> {
  const text = (await readAll(request)).toString('utf8');
  const parsed = storeFaultsSchema.safeParse(JSON.parse(text));
  if (!parsed.success) return parsed.error.issues.map((issue) => issue.message);
  const { down, slowMilliseconds, loseWriteResponses } = parsed.data;
  if (down !== undefined) store.faults.setDown(down);
  if (slowMilliseconds !== undefined) store.faults.setSlow(slowMilliseconds);
  if (loseWriteResponses !== undefined) store.faults.loseWriteResponses(loseWriteResponses);
  return [];
}

/**
 * Creates the HTTP control server of the in-memory store: `POST /faults` changes the injected faults, `GET /counters`
 * returns the number of calls by kind.
 *
 * @param store - The running store.
 * @returns The server, not listening.
 * @internal
 */
export function createStoreControl(store: StoreServer): Server {
  return createServer((request, response) => {
    const answer = (status: number, value: unknown): void => {
      response.writeHead(status, { 'content-type': 'application/json' });
      response.end(JSON.stringify(value));
    };
    if (request.url === '/counters') {
      answer(200, store.calls);
    } else if (request.url === '/faults' && request.method === 'POST') {
      changeFaults(store, request).then(
        (problems) => answer(problems.length === 0 ? 200 : 400, { problems }),
        (error: unknown) => answer(400, { problems: [String(error)] }),
      );
    } else {
      answer(404, { problems: ['unknown path'] });
    }
  });
}
