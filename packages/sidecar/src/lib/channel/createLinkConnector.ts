import type { Socket } from 'node:net';
import { connect as connectSocket } from 'node:net';

import { splitAddress } from '@buckthornslip/calls';

import { channelTimes } from './channelTimes';
import { createFrameConnection } from './createFrameConnection';
import type { FrameConnection } from './FrameConnection';
import type { Frame } from './frameCodec';
import type { PeerLinkOptions } from './PeerLinkOptions';

/** A connection on which the other node's hello has been received. */
export interface LinkConnection {
  readonly frames: FrameConnection;
  /** Incarnation of the other node. */
  readonly incarnation: number;
  /** Number of the session at the other node that this connection continues. */
  readonly session: number;
}

/** Opens the connection of a link, and opens a new one on demand after it was lost. */
export interface LinkConnector {
  /** @returns The open connection, if there is one. */
  readonly current: () => LinkConnection | undefined;
  /** @returns The connection, which is opened if necessary; undefined if no hello is received in time. */
  readonly connect: () => Promise<LinkConnection | undefined>;
  readonly close: () => void;
}

/** Callbacks of the connector. */
interface ConnectorListener {
  readonly onFrame: (frame: Frame) => void;
  /** Called with a new connection before it is used. */
  readonly onOpen: (connection: LinkConnection) => void;
  readonly onLost: () => void;
}

/** Session in the hello of the node that opens the connection; the other node assigns the number. */
const NO_SESSION = 0;

function openSocket(address: string): Socket {
  return connectSocket(splitAddress(address));
}

/**
 * Creates the connector of a link.
 *
 * @param options - The other node's address and this node's identity.
 * @param listener - Called for each frame and when a connection is lost.
 * @returns A connector without a connection.
 * @internal
 */
export function createLinkConnector(
  options: PeerLinkOptions,
  listener: ConnectorListener,
): LinkConnector {
  const { address, clock, logger, self } = options;
  let open: LinkConnection | undefined;
  let opening: Promise<LinkConnection | undefined> | undefined;
  let isClosed = false;
  let closeCurrent = (): void => undefined;

  const openConnection = (): Promise<LinkConnection | undefined> =>
    new Promise((resolve) => {
      const socket = openSocket(address);
      let stopTimer: (() => void) | undefined;
      const onFrame = (frame: Frame, frames: FrameConnection): void => {
        options.onReceived();
        if (frame.$case !== 'hello') {
          listener.onFrame(frame);
          return;
        }
        stopTimer?.();
        opening = undefined;
        const { incarnation, session } = frame.value;
        open = { frames, incarnation, session };
        listener.onOpen(open);
        resolve(open);
      };
      const onClose = (frames: FrameConnection): void => {
        stopTimer?.();
        opening = undefined;
        resolve(undefined);
        if (open?.frames !== frames) return;
        open = undefined;
        if (isClosed) return;
        logger.log('linkLost', { address });
        listener.onLost();
      };
      const onError = (kind: Frame['$case'], error: unknown): void => {
        logger.log('frameFailed', { address, kind, error: String(error) });
      };
      const frames = createFrameConnection(clock, socket, { onFrame, onError, onClose });
      closeCurrent = frames.destroy;
      stopTimer = clock.setTimer(channelTimes.connectTimeout, frames.destroy);
      const { host, incarnation } = self;
      frames.send({ $case: 'hello', value: { host, incarnation, session: NO_SESSION } });
    });

  return {
    current: () => open,
    connect: () => {
      if (open) return Promise.resolve(open);
      if (isClosed) return Promise.resolve(undefined);
      opening ??= openConnection();
      return opening;
    },
    close: () => {
      isClosed = true;
      closeCurrent();
    },
  };
}
