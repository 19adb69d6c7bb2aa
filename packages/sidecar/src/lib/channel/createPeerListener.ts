import type { Socket } from 'node:net';
import { createServer } from 'node:net';

import type { AccountId, Clock, NodeIdentity } from '@buckthornslip/common';
import type { EventLogger } from '@buckthornslip/telemetry';
import type { channelMessages } from '@buckthornslip/wire';

import { listenAt } from '../http/listenAt';
import type { TurnPacer } from '../process/createTurnPacer';
import { createAnswerRetention } from './createAnswerRetention';
import { createFrameConnection } from './createFrameConnection';
import type { FrameConnection } from './FrameConnection';
import { createOutgoingBudget } from './createOutgoingBudget';
import type { PeerSession } from './createPeerSession';
import { createPeerSession } from './createPeerSession';
import type { Frame } from './frameCodec';
import type { PeerHandlers } from './PeerHandlers';
import { fromInterruptedCallsMessage, fromSuspectsMessage } from './suspectFrames';

/** Listener for the connections of other nodes. */
export interface PeerListener {
  readonly listen: (address: string) => Promise<void>;
  /** @returns Whether the connection of any other node is open. */
  readonly hasOpen: () => boolean;
  /** Closes the listener and all connections. */
  readonly close: () => void;
}

/** Dependencies of the listener. */
interface PeerListenerOptions {
  readonly clock: Clock;
  readonly logger: EventLogger;
  readonly pacer: TurnPacer;
  /** Most bytes of answers that wait for other nodes to read them, and most that are retained in case they are lost. */
  readonly answerBytes: number;
  /** This node. */
  readonly self: NodeIdentity;
  /** Called for each message of another node. */
  readonly onReceived: () => void;
}

/**
 * Creates the listener for other nodes.
 *
 * @param options - Clock, logger and identity of this node.
 * @param peerHandlers - Handlers of the messages of other nodes.
 * @returns A listener that is not listening yet.
 * @internal
 */
export function createPeerListener(
  options: PeerListenerOptions,
  peerHandlers: PeerHandlers,
): PeerListener {
  const { answerBytes, clock, logger, onReceived, pacer, self } = options;
  const outgoing = createOutgoingBudget(answerBytes);
  const retention = createAnswerRetention(clock, answerBytes);
  const sessions = new Map<string, PeerSession>();
  let lastSession = 0;
  const sockets = new Set<Socket>();

  const sessionOf = ({ host, incarnation }: channelMessages.Hello): PeerSession => {
    const key = `${host}/${incarnation}`;
    const known = sessions.get(key);
    if (known) return known;
    lastSession += 1;
    const created = createPeerSession({ clock, logger, outgoing, pacer, retention }, peerHandlers, {
      number: lastSession,
      onForgotten: () => sessions.delete(key),
    });
    sessions.set(key, created);
    return created;
  };

  const accept = (socket: Socket): void => {
    let session: PeerSession | undefined;
    const handlers: Readonly<
      Partial<Record<Frame['$case'], (value: never, connection: FrameConnection) => void>>
    > = {
      hello: (hello: channelMessages.Hello, connection) => {
        session = sessionOf(hello);
        session.attach(connection);
        connection.send({ $case: 'hello', value: { ...self, session: session.number } });
      },
      call: (message: channelMessages.Call) => session?.onCall(message),
      resume: (message: channelMessages.Resume) => session?.onResume(message),
      cancel: (message: channelMessages.Cancel) => session?.onCancel(message),
      bodyPart: (message: channelMessages.BodyPart) => session?.onBodyPart(message),
      bodyCredit: (message: channelMessages.BodyCredit) => session?.onBodyCredit(message),
      suspects: (message: channelMessages.Suspects) =>
        peerHandlers.mergeSuspects(fromSuspectsMessage(message)),
      interruptedCalls: (message: channelMessages.InterruptedCalls) =>
        peerHandlers.recordInterrupted(fromInterruptedCallsMessage(message)),
      ping: (value: channelMessages.Ping, connection) => connection.send({ $case: 'pong', value }),
      ledgerRequest: (message: channelMessages.LedgerRequest, connection) => {
        const { ahead, needed, sequence } = message;
        const account = message.account as AccountId;
        void peerHandlers
          .grant({ account, needed, ahead })
          .then((grant) => {
            connection.send({ $case: 'ledgerGrant', value: { sequence, ...grant } });
          })
          .catch((error: unknown) => {
            logger.log('frameFailed', { kind: 'ledgerRequest', error: String(error) });
          });
      },
      exchange: ({ sequence, ...fields }: channelMessages.Exchange, connection) => {
        const answer = peerHandlers.exchange(fields);
        connection.send({ $case: 'exchangeAnswer', value: { sequence, ...answer } });
      },
    };
    sockets.add(socket);
    const accepted = createFrameConnection(clock, socket, {
      onFrame: (frame, connection) => {
        onReceived();
        handlers[frame.$case]?.(frame.value as never, connection);
      },
      onError: (kind, error) => logger.log('frameFailed', { kind, error: String(error) }),
      onClose: (connection) => {
        sockets.delete(socket);
        outgoing.remove(connection);
        session?.detach(connection);
      },
    });
    outgoing.add(accepted);
  };

  const server = createServer({ noDelay: true }, accept);
  return {
    listen: (address) => listenAt(server, address),
    hasOpen: () => sockets.size > 0,
    close: () => {
      server.close();
      sockets.forEach((socket) => socket.destroy());
    },
  };
}
