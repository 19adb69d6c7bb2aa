import { failure, success } from '@buckthornslip/common';
import type { Clock, RandomSource } from '@buckthornslip/common';
import type { GrantResponse, LimitPeers, TokenServer } from '@buckthornslip/limits';

import type { SimulatedProcess } from './createProcess';
import type { Faults } from './Faults';

const ZONE_MILLISECONDS = 0.5;
const REGION_MILLISECONDS = 15;

/** Share of lost responses that arrive after the request has timed out. */
const LATE_SHARE = 0.5;

/** Simulated network between processes. */
export interface Network {
  readonly attach: (process: SimulatedProcess, tokenServer: TokenServer) => void;
  readonly peersOf: (process: SimulatedProcess) => LimitPeers;
  readonly messages: () => number;
}

/** Creates a network to which no process is attached. */
export function createNetwork(clock: Clock, random: RandomSource, faults: Faults): Network {
  const tokenServers = new Map<string, { process: SimulatedProcess; tokenServer: TokenServer }>();
  let messages = 0;

  const latencyBetween = (from: SimulatedProcess, to: SimulatedProcess): number =>
    (from.region === to.region ? ZONE_MILLISECONDS : REGION_MILLISECONDS) +
    random.next() * faults.delayMilliseconds;

  const peersOf = (from: SimulatedProcess): LimitPeers => ({
    grantTokens: (address, request, timeoutMilliseconds) =>
      new Promise((resolve) => {
        messages += 1;
        const target = tokenServers.get(address);
        const respond = (response: GrantResponse, delay: number): void => {
          clock.setTimer(delay, () => from.deliver(() => resolve(success(response))));
        };
        const arrive = (): void =>
          target?.process.deliver(() => {
            const response = target.tokenServer.handle(request);
            const delay = latencyBetween(target.process, from);
            if (random.next() >= faults.loss) respond(response, delay);
            // A late response tests that the entry node counts the lifetime of a grant from its own request.
            else if (random.next() < LATE_SHARE) respond(response, delay + timeoutMilliseconds * 6);
          });
        if (target) {
          const copies = random.next() < faults.duplication ? 2 : 1;
          for (let copy = 0; copy < copies; copy += 1) {
            const delay = latencyBetween(from, target.process) * (1 + copy * 20);
            if (random.next() >= faults.loss) clock.setTimer(delay, arrive);
          }
        }
        // Reports some timeouts much later than they are due.
        const timeoutFactor = random.next() < faults.loss * LATE_SHARE ? 8 : 1;
        from.clock.setTimer(timeoutMilliseconds * timeoutFactor, () =>
          resolve(failure({ kind: 'unreachable' })),
        );
      }),
  });

  return {
    attach: (process, tokenServer) => tokenServers.set(process.name, { process, tokenServer }),
    peersOf,
    messages: () => messages,
  };
}
