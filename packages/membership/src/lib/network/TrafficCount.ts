/**
 * Messages that one node has sent and received. Lost messages count only for the sender.
 *
 * @public
 */
export interface TrafficCount {
  readonly sentMessages: number;
  readonly sentBytes: number;
  readonly receivedMessages: number;
  readonly receivedBytes: number;
}
