import { refuse } from '@buckthornslip/calls';
import type { Outcome, RefusalReason } from '@buckthornslip/common';
import type { LedgerGrant } from '@buckthornslip/limits';
import type { channelMessages } from '@buckthornslip/wire';

import type { AttemptResult } from '../serving/AttemptResult';
import type { CallAttempt } from '../serving/CallAttempt';
import type { BodyOutlet, BodyReceiver, BodySender } from './BodyChannel';
import { fromAnswerMessage, toCallMessage } from './callFrames';
import { channelTimes } from './channelTimes';
import { createBodyReceiver } from './createBodyReceiver';
import { createBodySender } from './createBodySender';
import { createCancellations } from './createCancellations';
import { createLostCalls } from './createLostCalls';
import type { LinkConnection } from './createLinkConnector';
import { createLinkConnector } from './createLinkConnector';
import type { FrameConnection } from './FrameConnection';
import type { Frame } from './frameCodec';
import { isSameSession } from './isSameSession';
import type { ExchangeFields, PeerLink } from './PeerLink';
import type { PeerLinkOptions } from './PeerLinkOptions';
import { toInterruptedCallsMessage, toSuspectsMessage } from './suspectFrames';

/** Bytes of a request's body that may be sent before the other node grants credit. */
const REQUEST_CREDIT_BYTES = 262_144;

/** Buffered bytes above which the bodies of requests wait. */
const MAXIMUM_PENDING_BODY_BYTES = 1_048_576;

/** Buffered bytes above which no further call is sent on a connection. */
const MAXIMUM_PENDING_BYTES = 8_388_608;

/** A call without a complete answer. */
interface PendingCall {
  readonly call: CallAttempt;
  /** Connection on which it was sent. */
  readonly sentOn: LinkConnection;
  readonly sentMilliseconds: number;
  readonly settle: (result: AttemptResult) => void;
  readonly sender: BodySender | undefined;
  receiver: BodyReceiver | undefined;
}

function refused(reason: RefusalReason, outcome: Outcome): AttemptResult {
  return { answer: refuse(reason, outcome), load: undefined };
}

/**
 * Creates the link to another node, which multiplexes all calls and messages over one connection. When the connection
 * is lost or unresponsive, the link reconnects and requests the pending answers from the same process, so that a lost
 * connection loses no answer and runs no call twice.
 *
 * @param options - The other node's address and this node's identity.
 * @returns A link without a connection.
 * @internal
 */
export function createPeerLink(options: PeerLinkOptions): PeerLink {
  const { clock, ticker } = options;
  const calls = new Map<number, PendingCall>();
  const lostCalls = createLostCalls(clock);
  const cancellations = createCancellations(clock);
  const messages = new Map<number, (answer: unknown) => void>();
  let nextId = 1;
  let stopChecking: (() => void) | undefined;
  let isResuming = false;
  let waitingSinceMilliseconds = 0;

  const connector = createLinkConnector(options, {
    onFrame: (frame) => dispatch(frame),
    onOpen: (connection) => {
      reportInterrupted(connection);
      cancellations.due(connection).forEach((id) => sendCancel(connection, id));
    },
    onLost: () => {
      breakTransfers();
      void resume();
    },
  });

  const send = (frame: Frame): void => connector.current()?.frames.send(frame);

  const settle = (id: number, result: AttemptResult): void => {
    const pending = calls.get(id);
    if (!pending) return;
    if (!pending.receiver) calls.delete(id);
    pending.settle(result);
  };

  const recordLost = ({ call, sentMilliseconds, sentOn }: PendingCall): void => {
    lostCalls.add({ call, sentMilliseconds, incarnation: sentOn.incarnation });
  };

  /** Tells a new process of the other node which calls were lost with the earlier one. */
  function reportInterrupted({ frames, incarnation }: LinkConnection): void {
    const interrupted = lostCalls.take(incarnation);
    if (interrupted.length === 0) return;
    frames.send({ $case: 'interruptedCalls', value: toInterruptedCallsMessage(interrupted) });
  }

  function sendCancel({ frames }: LinkConnection, id: number): void {
    frames.send({ $case: 'cancel', value: { id } });
  }

  /** Cancels a call on the present connection, or on the next one if that is lost. */
  const cancel = (id: number, sentOn: LinkConnection): void => {
    const connection = connector.current();
    if (connection && !isSameSession(connection, sentOn)) return;
    cancellations.add(id, sentOn);
    if (connection) sendCancel(connection, id);
    else void resume();
  };

  const onAnswer = (message: channelMessages.Answer): void => {
    cancellations.confirm(message.id);
    const pending = calls.get(message.id);
    if (!pending || pending.receiver) return;
    if (message.bodyFollows) {
      pending.receiver = createBodyReceiver((bytes) => {
        send({ $case: 'bodyCredit', value: { id: message.id, bytes } });
      }, message.body.length);
      pending.receiver.stream.once('close', () => {
        calls.delete(message.id);
        const isWhole = pending.receiver?.stream.readableEnded === true;
        if (!isWhole) send({ $case: 'cancel', value: { id: message.id } });
      });
    }
    settle(message.id, fromAnswerMessage(message, pending.receiver?.stream));
  };

  const onMessage = (value: { readonly sequence: number }): void => {
    messages.get(value.sequence)?.(value);
    messages.delete(value.sequence);
  };

  const handlers: Readonly<Partial<Record<Frame['$case'], (value: never) => void>>> = {
    answer: onAnswer,
    bodyPart: (part: channelMessages.BodyPart) => calls.get(part.id)?.receiver?.push(part),
    bodyCredit: ({ bytes, id }: channelMessages.BodyCredit) =>
      calls.get(id)?.sender?.addCredit(bytes),
    ledgerGrant: onMessage,
    exchangeAnswer: onMessage,
  };

  function dispatch(frame: Frame): void {
    handlers[frame.$case]?.(frame.value as never);
  }

  /** Fails the bodies that are being transferred: parts that were lost with a connection are not sent again. */
  function breakTransfers(): void {
    calls.forEach((pending, id) => {
      const { receiver, sender } = pending;
      if (receiver || sender) recordLost(pending);
      receiver?.fail();
      if (!sender) return;
      sender.release();
      settle(id, refused('peer-unreachable', 'may-have-run'));
    });
  }

  /**
   * Fails the calls that can't be resumed: their process has ended, or it has forgotten the session and can't tell
   * whether they have run.
   */
  const failUnresumable = (connection: LinkConnection | undefined): void => {
    calls.forEach((pending, id) => {
      const { call, sentOn } = pending;
      const isUnknown = connection && !isSameSession(connection, sentOn);
      const isUnreachable = !connection && call.repeatable;
      if (!isUnknown && !isUnreachable) return;
      recordLost(pending);
      if (!connection) cancellations.add(id, sentOn);
      settle(id, refused('peer-unreachable', 'may-have-run'));
    });
    if (connection) reportInterrupted(connection);
  };

  async function resume(): Promise<void> {
    if (isResuming) return;
    isResuming = true;
    while (calls.size + cancellations.size() > 0) {
      const connection = await connector.connect();
      failUnresumable(connection);
      if (connection) {
        const { frames, incarnation } = connection;
        calls.forEach((_pending, id) =>
          frames.send({ $case: 'resume', value: { id, incarnation } }),
        );
        break;
      }
      // Calls that must not run twice wait until their deadline for the same process to be reachable.
      await clock.sleep(channelTimes.resumeDelay);
    }
    isResuming = false;
  }

  const checkReceiveTimeout = ({ frames }: LinkConnection): void => {
    const since = Math.max(frames.lastReceivedMilliseconds(), waitingSinceMilliseconds);
    const idleMilliseconds = clock.monotonicMilliseconds() - since;
    if (idleMilliseconds > channelTimes.receiveTimeout) {
      options.logger.log('linkSilent', {
        address: options.address,
        milliseconds: idleMilliseconds,
      });
      frames.destroy();
    } else if (idleMilliseconds > channelTimes.pingDelay)
      frames.send({ $case: 'ping', value: { sequence: 0 } });
  };

  /** The receive timeout applies only while an answer or the confirmation of a cancellation is pending. */
  const check = (): void => {
    const connection = connector.current();
    if (calls.size + messages.size + cancellations.size() === 0) {
      stopChecking?.();
      stopChecking = undefined;
    } else if (connection) checkReceiveTimeout(connection);
  };

  const startChecking = (): void => {
    // An idle connection receives nothing, so the receive timeout starts with the first pending request.
    if (calls.size + messages.size === 1) waitingSinceMilliseconds = clock.monotonicMilliseconds();
    stopChecking ??= ticker.add(check);
  };

  const outletOf = (id: number, frames: FrameConnection): BodyOutlet => ({
    send: (part) => send({ $case: 'bodyPart', value: { id, ...part } }),
    hasRoom: () => frames.pendingBytes() <= MAXIMUM_PENDING_BODY_BYTES,
    whenDrained: frames.whenDrained,
  });

  const start = (connection: LinkConnection, call: CallAttempt): Promise<AttemptResult> =>
    new Promise((resolve) => {
      const { frames } = connection;
      const id = nextId;
      nextId += 1;
      const { body, scope } = call;
      const stopListening = scope.onCancel(() => {
        cancel(id, connection);
        const pending = calls.get(id);
        if (pending && connector.current() !== connection) recordLost(pending);
        settle(id, refused(scope.cancelReason() ?? 'caller-gone', 'may-have-run'));
      });
      frames.send({ $case: 'call', value: toCallMessage(id, call) });
      const sender =
        body.kind === 'stream'
          ? createBodySender(body.stream, outletOf(id, frames), REQUEST_CREDIT_BYTES)
          : undefined;
      const settleCall = (result: AttemptResult): void => {
        const rest = result.answer.kind === 'answer' ? result.answer.rest : undefined;
        stopListening();
        // The rest of a long answer remains subject to the deadline of the call.
        if (rest) scope.onCancel(() => rest.destroy());
        resolve(result);
      };
      calls.set(id, {
        call,
        sentOn: connection,
        sentMilliseconds: clock.monotonicMilliseconds(),
        settle: settleCall,
        sender,
        receiver: undefined,
      });
      startChecking();
    });

  const sendRequest = async <Answer>(
    toFrame: (sequence: number) => Frame,
    timeoutMilliseconds: number,
  ): Promise<Answer | undefined> => {
    const connection = await connector.connect();
    if (!connection) return undefined;
    return new Promise((resolve) => {
      const sequence = nextId;
      nextId += 1;
      const stopTimer = clock.setTimer(timeoutMilliseconds, () => {
        messages.delete(sequence);
        resolve(undefined);
      });
      messages.set(sequence, (answer) => {
        stopTimer();
        resolve(answer as Answer);
      });
      connection.frames.send(toFrame(sequence));
      startChecking();
    });
  };

  return {
    call: async (call) => {
      const connection = connector.current() ?? (await connector.connect());
      const reason = call.scope.cancelReason();
      if (reason !== undefined) return refused(reason, 'not-run');
      if (!connection || connection.frames.pendingBytes() > MAXIMUM_PENDING_BYTES) {
        return refused('peer-unreachable', 'not-run');
      }
      return start(connection, call);
    },
    requestTokens: (request) =>
      sendRequest<LedgerGrant>(
        (sequence) => ({ $case: 'ledgerRequest', value: { sequence, ...request } }),
        channelTimes.tokenTimeout,
      ),
    exchange: (fields) =>
      sendRequest<ExchangeFields>(
        (sequence) => ({ $case: 'exchange', value: { sequence, ...fields } }),
        channelTimes.exchangeTimeout,
      ),
    shareSuspects: (suspects) => {
      // A node that can't be reached is told at a later repetition.
      void connector.connect().then((connection) => {
        connection?.frames.send({ $case: 'suspects', value: toSuspectsMessage(suspects) });
      });
    },
    isOpen: () => connector.current() !== undefined,
    close: () => {
      stopChecking?.();
      connector.close();
    },
  };
}
