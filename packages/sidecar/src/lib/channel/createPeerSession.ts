import type { Readable } from 'node:stream';

import { createCallScope, refuse } from '@buckthornslip/calls';
import type { CallScope } from '@buckthornslip/calls';
import type { Clock, Outcome } from '@buckthornslip/common';
import type { EventLogger } from '@buckthornslip/telemetry';
import type { channelMessages } from '@buckthornslip/wire';

import type { RequestBody } from '../http/RequestBody';
import { whenClosed } from '../http/whenClosed';
import type { TurnPacer } from '../process/createTurnPacer';
import type { AttemptResult } from '../serving/AttemptResult';
import { answerWindowOf } from './answerWindowOf';
import type { BodyOutlet, BodyReceiver, BodySender } from './BodyChannel';
import { fromCallMessage, toAnswerMessage } from './callFrames';
import { channelTimes } from './channelTimes';
import type { AnswerRetention } from './createAnswerRetention';
import { createBodyReceiver } from './createBodyReceiver';
import { createBodySender } from './createBodySender';
import type { OutgoingBudget } from './createOutgoingBudget';
import type { FrameConnection } from './FrameConnection';
import type { PeerHandlers } from './PeerHandlers';

/** One call of the other node. */
interface Attempt {
  readonly requestId: string;
  readonly receivedMilliseconds: number;
  readonly scope: CallScope;
  /** Bytes of the answer's body that may be sent before the other node grants credit. */
  readonly answerWindowBytes: number;
  receiver: BodyReceiver | undefined;
  sender: BodySender | undefined;
  result: AttemptResult | undefined;
  /** Whether it was cancelled because its connection was lost. */
  isOrphaned: boolean;
}

/**
 * Calls from one process of another node. The session outlives its connection, so that the other node can request the
 * answers over a new one.
 *
 * @internal
 */
export interface PeerSession {
  /** Identifies the session among all that this process has had. */
  readonly number: number;
  /** Switches to another connection and closes the previous one, from which nothing more is read. */
  readonly attach: (connection: FrameConnection) => void;
  readonly detach: (connection: FrameConnection) => void;
  readonly onCall: (message: channelMessages.Call) => void;
  readonly onResume: (message: channelMessages.Resume) => void;
  readonly onCancel: (message: channelMessages.Cancel) => void;
  readonly onBodyPart: (message: channelMessages.BodyPart) => void;
  readonly onBodyCredit: (message: channelMessages.BodyCredit) => void;
}

/** Settings of a session. */
interface PeerSessionSettings {
  readonly number: number;
  /** Called when the other node has not reconnected in time. */
  readonly onForgotten: () => void;
}

/** Dependencies of a session. */
interface PeerSessionDependencies {
  readonly clock: Clock;
  readonly logger: EventLogger;
  /** Spreads calls that arrive at once, so that their cancellations are read before they run. */
  readonly pacer: TurnPacer;
  /** Bounds what waits for the other nodes to read it. */
  readonly outgoing: OutgoingBudget;
  readonly retention: AnswerRetention;
}

function refused(outcome: Outcome): AttemptResult {
  return { answer: refuse('peer-unreachable', outcome), load: undefined };
}

/** The caller of a call that was cancelled because its connection was lost may still be there. */
function reportOrphaned(result: AttemptResult): AttemptResult {
  const { answer } = result;
  const isCancelled = answer.kind === 'refusal' && answer.reason === 'caller-gone';
  return isCancelled ? { ...result, answer: refuse('peer-unreachable', answer.outcome) } : result;
}

/** Result of a call whose handler failed at an unknown point. */
function failed(): AttemptResult {
  return { answer: refuse('upstream-failed', 'may-have-run'), load: undefined };
}

/**
 * Creates the session of another node's process.
 *
 * @param dependencies - Clock, logger, and what all sessions of this process share.
 * @param handlers - Handlers of the messages of other nodes.
 * @param settings - Number of the session and what to do at its end.
 * @returns The session, without a connection.
 * @internal
 */
export function createPeerSession(
  dependencies: PeerSessionDependencies,
  handlers: PeerHandlers,
  { number, onForgotten }: PeerSessionSettings,
): PeerSession {
  const { clock, logger, outgoing, pacer, retention } = dependencies;
  const attempts = new Map<number, Attempt>();
  let connection: FrameConnection | undefined;
  let highestId = 0;
  let stopTimers = (): void => undefined;

  const send = (id: number, result: AttemptResult): void => {
    connection?.send({ $case: 'answer', value: toAnswerMessage(id, result) });
  };

  const hasRoom = (): boolean => !connection || outgoing.hasRoom(connection);

  const outletOf = (id: number): BodyOutlet => ({
    send: (part) => connection?.send({ $case: 'bodyPart', value: { id, ...part } }),
    hasRoom,
    whenDrained: async () => connection?.whenDrained(),
  });

  const sendRest = (id: number, attempt: Attempt, sentBytes: number, rest: Readable): void => {
    const credit = attempt.answerWindowBytes - sentBytes;
    Object.assign(attempt, { sender: createBodySender(rest, outletOf(id), credit) });
  };

  /** The rest of a long answer can't be resumed, so that nobody would read and close one that begins without a connection. */
  const withoutUnsendableRest = (result: AttemptResult): AttemptResult => {
    if (connection || result.answer.kind !== 'answer' || !result.answer.rest) return result;
    result.answer.rest.destroy();
    return refused('may-have-run');
  };

  /** The attempt is retained for longer than its answer takes. A body that is being read still ends at the upstream. */
  const dropUnreadBody = (attempt: Attempt): void => {
    if (attempt.receiver?.stream.readableFlowing !== null) return;
    attempt.receiver.drop();
    Object.assign(attempt, { receiver: undefined });
  };

  const finish = (id: number, attempt: Attempt, served: AttemptResult): void => {
    const result = withoutUnsendableRest(attempt.isOrphaned ? reportOrphaned(served) : served);
    const { answer } = result;
    const bodyBytes = answer.kind === 'answer' ? answer.body.length : 0;
    const rest = answer.kind === 'answer' ? answer.rest : undefined;
    Object.assign(attempt, { result });
    dropUnreadBody(attempt);
    send(id, result);
    if (rest) {
      // The other node can't resume a body, so its call is needed only until the body ends.
      sendRest(id, attempt, bodyBytes, rest);
      whenClosed(rest, () => {
        attempt.scope.end();
        attempts.delete(id);
      });
      return;
    }
    attempt.scope.end();
    retention.add(bodyBytes, () => attempts.delete(id));
  };

  const bodyOf = (
    message: channelMessages.Call,
    receiver: BodyReceiver | undefined,
  ): RequestBody => {
    const { body: bytes, bodyLength } = message;
    if (!receiver) return { kind: 'whole', bytes };
    const length = bodyLength < 0 ? undefined : bodyLength;
    return { kind: 'stream', stream: receiver.stream, length, head: bytes };
  };

  /** Fails the bodies that are being transferred: parts that were lost with a connection are not sent again. */
  const breakTransfers = (): void => {
    attempts.forEach(({ receiver, sender }) => {
      receiver?.fail();
      sender?.stop();
    });
  };

  /** A call whose answer could not be sent on would only take memory. */
  const waitForRoom = async (requestId: string, scope: CallScope): Promise<void> => {
    const startedMilliseconds = clock.monotonicMilliseconds();
    const waitingBytes = connection?.pendingBytes();
    const cancelled = new Promise<void>((resolve) => {
      scope.onCancel(resolve);
    });
    while (connection && !hasRoom() && scope.cancelReason() === undefined) {
      await Promise.race([connection.whenDrained(), cancelled]);
    }
    const milliseconds = Math.round(clock.monotonicMilliseconds() - startedMilliseconds);
    logger.log('callHeld', { requestId, waitingBytes, milliseconds });
  };

  const serve = async (
    message: channelMessages.Call,
    body: RequestBody,
    scope: CallScope,
  ): Promise<AttemptResult> => {
    await pacer.wait();
    if (!hasRoom()) await waitForRoom(message.requestId, scope);
    const reason = scope.cancelReason();
    if (reason !== undefined) return { answer: refuse(reason, 'not-run'), load: undefined };
    return handlers.serve({ ...fromCallMessage(message), body, scope });
  };

  const cancel = (attempt: Attempt, cause: string): void => {
    const { receivedMilliseconds, requestId, result, scope } = attempt;
    if (!result) {
      const milliseconds = Math.round(clock.monotonicMilliseconds() - receivedMilliseconds);
      logger.log('callCancelled', { requestId, cause, milliseconds });
    }
    // The rest of a long answer is still being sent.
    scope.cancel('caller-gone');
  };

  /** Cancels the running calls. The session remains, so that the other node is told how they ended. */
  const cancelOrphans = (): void => {
    attempts.forEach((attempt) => {
      Object.assign(attempt, { isOrphaned: true });
      cancel(attempt, 'connection lost');
    });
  };

  return {
    number,
    attach: (next) => {
      const earlier = connection;
      connection = next;
      stopTimers();
      if (!earlier) return;
      breakTransfers();
      earlier.destroy();
    },
    detach: (lost) => {
      if (connection !== lost) return;
      connection = undefined;
      breakTransfers();
      const timers = [
        clock.setTimer(channelTimes.orphanTimeout, cancelOrphans),
        clock.setTimer(channelTimes.sessionRetention, onForgotten),
      ];
      stopTimers = () => timers.forEach((stop) => stop());
    },
    onCall: (message) => {
      const { id } = message;
      // If the other node asked for the call's answer before the call arrived, it was told that the call has not run;
      // the call must never run.
      if (id <= highestId) return;
      highestId = id;
      const receiver = message.bodyFollows
        ? createBodyReceiver((bytes) =>
            connection?.send({ $case: 'bodyCredit', value: { id, bytes } }),
          )
        : undefined;
      const scope = createCallScope(clock, message.remainingMilliseconds);
      const attempt: Attempt = {
        requestId: message.requestId,
        receivedMilliseconds: clock.monotonicMilliseconds(),
        scope,
        answerWindowBytes: answerWindowOf(message),
        receiver,
        sender: undefined,
        result: undefined,
        isOrphaned: false,
      };
      attempts.set(id, attempt);
      void serve(message, bodyOf(message, receiver), scope)
        .catch((error: unknown) => {
          const { requestId } = message;
          logger.log('unexpectedError', { during: 'call', requestId, error: String(error) });
          return failed();
        })
        .then((result) => finish(id, attempt, result));
    },
    onResume: ({ id }) => {
      const attempt = attempts.get(id);
      if (!attempt) {
        // The calls of one process arrive in order, so a call with a higher id has not been received.
        send(id, refused(id > highestId ? 'not-run' : 'may-have-run'));
        highestId = Math.max(highestId, id);
      } else if (attempt.sender) send(id, refused('may-have-run'));
      else if (attempt.result) send(id, attempt.result);
    },
    onCancel: ({ id }) => {
      const attempt = attempts.get(id);
      // The answer confirms the cancellation; that of a running call follows when it has ended.
      if (!attempt || attempt.result) send(id, refused('may-have-run'));
      if (!attempt) return;
      cancel(attempt, 'cancelled');
      attempt.receiver?.fail();
      attempt.sender?.stop();
    },
    onBodyPart: (part) => attempts.get(part.id)?.receiver?.push(part),
    onBodyCredit: ({ bytes, id }) => attempts.get(id)?.sender?.addCredit(bytes),
  };
}
