import type { IncomingMessage, ServerResponse } from 'node:http';

import { readAll } from '../http/readAll';
import type { UpstreamCounters } from './UpstreamCounters';
import type { UpstreamFaults } from './UpstreamFaults';
import { upstreamFaultsSchema } from './UpstreamFaults';

/**
 * State that the control endpoints of a stub upstream read and change.
 *
 * @internal
 */
export interface ControlState {
  readonly counters: () => UpstreamCounters;
  readonly faults: () => UpstreamFaults;
  readonly setFaults: (faults: Partial<UpstreamFaults>) => void;
}

function sendJson(response: ServerResponse, status: number, value: unknown): void {
  response.writeHead(status, { 'content-type': 'application/json' }).end(JSON.stringify(value));
}

async function changeFaults(
  state: ControlState,
  request: IncomingMessage,
  response: ServerResponse,
): Promise<void> {
  const text = (await readAll(request)).toString('utf8');
  const parsed = upstreamFaultsSchema.partial().safeParse(JSON.parse(text));
  if (parsed.success) {
    state.setFaults(parsed.data);
    sendJson(response, 200, state.faults());
  } else sendJson(response, 400, parsed.error.issues);
}

/**
 * Serves `/health`, `/counters` and `/faults`. They aren't counted as calls and keep working during most faults.
 *
 * @param state - Counters and faults.
 * @param request - Request to serve.
 * @param response - Response to write to.
 * @returns Whether the request was for one of these paths.
 * @internal
 */
export function serveControl(
  state: ControlState,
  request: IncomingMessage,
  response: ServerResponse,
): boolean {
  if (request.url === '/counters') sendJson(response, 200, state.counters());
  else if (request.url === '/health') {
    const { health } = state.faults();
    sendJson(response, health === 'ok' ? 200 : 503, { status: health });
  } else if (request.url === '/faults') {
    if (request.method === 'GET') sendJson(response, 200, state.faults());
    else {
      changeFaults(state, request, response).catch((error: unknown) =>
        sendJson(response, 400, { message: String(error) }),
      );
    }
  } else return false;
  return true;
}
