import type { Clock, RandomSource, Result } from '@buckthornslip/common';
import { failure, success } from '@buckthornslip/common';
import { membershipMessages } from '@buckthornslip/wire';

import type { MembershipHandler } from '../peers/MembershipHandler';
import type { MembershipMethod, MembershipResponse } from '../peers/MembershipMethod';
import type { MembershipPeers } from '../peers/MembershipPeers';
import type { PeerError } from '../peers/PeerError';
import { createTrafficCounter } from './createTrafficCounter';
import type { MemoryNetwork } from './MemoryNetwork';

/** Serializers of one method without their message types. */
interface Codec {
  readonly requestSerialize: (value: unknown) => Buffer;
  readonly requestDeserialize: (bytes: Buffer) => unknown;
  readonly responseSerialize: (value: unknown) => Buffer;
  readonly responseDeserialize: (bytes: Buffer) => unknown;
}

/**
 * Creates an in-memory network. Messages are encoded and decoded as on a real one, so that their sizes can be
 * measured and nodes share no objects.
 *
 * @param options - Clock, source of randomness, and the delay of a message by sender and receiver, in milliseconds.
 * @returns The network, initially without faults.
 * @public
 */
export function createMemoryNetwork(options: {
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly delayMilliseconds: (from: string, to: string) => number;
}): MemoryNetwork {
  const { clock, random, delayMilliseconds } = options;
  const handlers = new Map<string, MembershipHandler>();
  const traffic = createTrafficCounter();
  let lossProbability = 0;
  let sideOf: (address: string) => unknown = () => undefined;

  /** Calls `onArrival` when the message arrives at the receiver; never if the message is lost. */
  const deliver = (from: string, to: string, bytes: Buffer, onArrival: () => void): void => {
    traffic.sent(from, bytes.length);
    const isCut = !handlers.has(from) || sideOf(from) !== sideOf(to);
    if (isCut || random.next() < lossProbability) return;
    clock.setTimer(delayMilliseconds(from, to), () => {
      traffic.received(to, bytes.length);
      onArrival();
    });
  };

  const serve = async (
    address: string,
    method: MembershipMethod,
    bytes: Buffer,
  ): Promise<Buffer | undefined> => {
    const handler = handlers.get(address);
    if (!handler) return undefined;
    const codec = membershipMessages.MembershipPeerService[method] as unknown as Codec;
    const handle = handler[method] as (request: unknown) => unknown;
    return codec.responseSerialize(await handle(codec.requestDeserialize(bytes)));
  };

  const callFrom =
    (from: string): MembershipPeers['call'] =>
    (to, method, request, timeoutMilliseconds) => {
      type Response = MembershipResponse<typeof method>;
      const codec = membershipMessages.MembershipPeerService[method] as unknown as Codec;
      return new Promise<Result<Response, PeerError>>((resolve) => {
        const cancel = clock.setTimer(timeoutMilliseconds, () =>
          resolve(failure({ kind: 'timeout' })),
        );
        const answer = async (bytes: Buffer): Promise<void> => {
          const response = await serve(to, method, bytes);
          if (!response) return;
          deliver(to, from, response, () => {
            cancel();
            resolve(success(codec.responseDeserialize(response) as Response));
          });
        };
        const bytes = codec.requestSerialize(request);
        deliver(from, to, bytes, () => {
          void answer(bytes);
        });
      });
    };

  return {
    attach: (address, handler) => handlers.set(address, handler),
    detach: (address) => handlers.delete(address),
    peersOf: (address) => ({ call: callFrom(address) }),
    setLoss: (probability) => {
      lossProbability = probability;
    },
    partition: (side) => {
      sideOf = side;
    },
    traffic: traffic.of,
  };
}
