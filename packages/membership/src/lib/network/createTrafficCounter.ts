import type { TrafficCount } from './TrafficCount';

const noTraffic: TrafficCount = {
  sentMessages: 0,
  sentBytes: 0,
  receivedMessages: 0,
  receivedBytes: 0,
};

/**
 * @returns Counters of sent and received messages by address.
 * @internal
 */
export function createTrafficCounter(): {
  readonly sent: (address: string, bytes: number) => void;
  readonly received: (address: string, bytes: number) => void;
  readonly of: (address: string) => TrafficCount;
} {
  const counts = new Map<string, TrafficCount>();
  const of = (address: string): TrafficCount => counts.get(address) ?? noTraffic;
  return {
    of,
    sent: (address, bytes) => {
      const { sentMessages, sentBytes } = of(address);
      counts.set(address, {
        ...of(address),
        sentMessages: sentMessages + 1,
        sentBytes: sentBytes + bytes,
      });
    },
    received: (address, bytes) => {
      const { receivedMessages, receivedBytes } = of(address);
      counts.set(address, {
        ...of(address),
        receivedMessages: receivedMessages + 1,
        receivedBytes: receivedBytes + bytes,
      });
    },
  };
}
