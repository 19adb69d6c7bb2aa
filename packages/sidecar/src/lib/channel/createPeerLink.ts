import { refuse } from '@buckthornslip/calls';
import type { Outcome, RefusalReason } from '@buckthornslip/common';
import type { LedgerGrant } from '@buckthornslip/limits';
import type { channelMessages } from '@buckthornslip/wire';

import type { ServedAnswer } from '../serving/ServedAnswer';
import type { ServingCall } from '../serving/ServingCall';
import type { BodyReceiver, BodySender } from './BodyChannel';
import { fromAnswerMessage, toCallMessage } from './callFrames';
import { channelTimes } from './channelTimes';
import { createBodyReceiver } from './createBodyReceiver';
import { createBodySender } from './createBodySender';
import type { LinkConnection } from './createLinkConnector';
import { createLinkConnector } from './createLinkConnector';
import type { Frame } from './frameCodec';
import type { ExchangeFields, PeerLink } from './PeerLink';
import type { PeerLinkOptions } from './PeerLinkOptions';

/** Bytes waiting for the network above which no further call is sent there. */
const MOST_PENDING_BYTES = 8_388_608;

/** A call that has no complete answer yet. */
interface OpenCall {
  readonly call: ServingCall;
  /** Incarnation of the node to which it was sent. */
  readonly incarnation: number;
  readonly settle: (served: ServedAnswer) => void;
  readonly sender: BodySender | undefined;
  receiver: BodyReceiver | undefined;
}

function refused(reason: RefusalReason, outcome: Outcome): ServedAnswer {
  return { answer: refuse(reason, outcome), load: undefined };
}

/**
 * Creates the link to another node: one connection that carries all calls and messages to it. When the connection is
 * lost or goes silent, the link opens another one and asks the same process for the answers, so that a lost connection
 * costs no answer and makes no call run twice.
 *
 * @param options - The other node's address and this node's identity.
 * @returns A link without a connection.
 * @internal
 */
export function createPeerLink(options: PeerLinkOptions): PeerLink {
  const { clock, ticker } = options;
  const calls = new Map<number, OpenCall>();
  const messages = new Map<number, (answer: unknown) => void>();
  let nextId = 1;
  let stopWatching: (() => void) | undefined;
  let isResuming = false;
  let waitingSinceMilliseconds = 0;

  const connector = createLinkConnector(options, {
    onFrame: (frame) => dispatch(frame),
    onLost: () => {
      void resume();
    },
  });

  const send = (frame: Frame): void => connector.current()?.frames.send(frame);

  const settle = (id: number, served: ServedAnswer): void => {
    const open = calls.get(id);
    if (!open) return;
    if (!open.receiver) calls.delete(id);
    open.settle(served);
  };

  const onAnswer = (message: channelMessages.Answer): void => {
    const open = calls.get(message.id);
    if (!open || open.receiver) return;
    if (message.bodyFollows) {
      open.receiver = createBodyReceiver((bytes) => {
        send({ $case: 'bodyCredit', value: { id: message.id, bytes } });
      });
      open.receiver.stream.once('close', () => {
        calls.delete(message.id);
        const isWhole = open.receiver?.stream.readableEnded === true;
        if (!isWhole) send({ $case: 'cancel', value: { id: message.id } });
      });
    }
    settle(message.id, fromAnswerMessage(message, open.receiver?.stream));
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

  /** Calls whose bodies were on their way cannot go on, nor can those whose process has ended. */
  const dropLost = (incarnation: number | undefined): void => {
    calls.forEach((open, id) => {
      if (open.receiver) open.receiver.fail();
      const isGone = incarnation !== undefined && open.incarnation !== incarnation;
      const isUnreachable = incarnation === undefined && open.call.repeatable;
      if (open.sender || isGone || isUnreachable) {
        settle(id, refused('peer-unreachable', 'may-have-run'));
      }
    });
  };

  async function resume(): Promise<void> {
    if (isResuming) return;
    isResuming = true;
    while (calls.size > 0) {
      const connection = await connector.connect();
      dropLost(connection?.incarnation);
      if (connection) {
        const { frames, incarnation } = connection;
        calls.forEach((_open, id) => frames.send({ $case: 'resume', value: { id, incarnation } }));
        break;
      }
      // Calls that must not run twice wait for their process until their deadline.
      await clock.sleep(channelTimes.resume);
    }
    isResuming = false;
  }

  const checkSilence = ({ frames }: LinkConnection): void => {
    const since = Math.max(frames.lastReceivedMilliseconds(), waitingSinceMilliseconds);
    const quiet = clock.monotonicMilliseconds() - since;
    if (quiet > channelTimes.silence) {
      options.logger.log('linkSilent', { address: options.address, milliseconds: quiet });
      frames.destroy();
    } else if (quiet > channelTimes.quiet) frames.send({ $case: 'ping', value: { sequence: 0 } });
  };

  /** Silence counts while a message is unanswered. */
  const watch = (): void => {
    const connection = connector.current();
    if (calls.size + messages.size === 0) {
      stopWatching?.();
      stopWatching = undefined;
    } else if (connection) checkSilence(connection);
  };

  const startWatching = (): void => {
    // An idle connection has nothing to say; its silence counts from the first message that waits for an answer.
    if (calls.size + messages.size === 1) waitingSinceMilliseconds = clock.monotonicMilliseconds();
    stopWatching ??= ticker.add(watch);
  };

  const start = (
    { frames, incarnation }: LinkConnection,
    call: ServingCall,
  ): Promise<ServedAnswer> =>
    new Promise((resolve) => {
      const id = nextId;
      nextId += 1;
      const { body, scope } = call;
      const stopListening = scope.onCancel(() => {
        frames.send({ $case: 'cancel', value: { id } });
        settle(id, refused(scope.cancelReason() ?? 'caller-gone', 'may-have-run'));
      });
      frames.send({ $case: 'call', value: toCallMessage(id, call) });
      const sender =
        body.kind === 'stream'
          ? createBodySender(body.stream, (part) =>
              send({ $case: 'bodyPart', value: { id, ...part } }),
            )
          : undefined;
      const settleCall = (served: ServedAnswer): void => {
        stopListening();
        resolve(served);
      };
      calls.set(id, { call, incarnation, settle: settleCall, sender, receiver: undefined });
      startWatching();
    });

  const ask = async <Answer>(
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
      startWatching();
    });
  };

  return {
    call: async (call) => {
      const connection = connector.current() ?? (await connector.connect());
      const reason = call.scope.cancelReason();
      if (reason !== undefined) return refused(reason, 'not-run');
      if (!connection || connection.frames.pendingBytes() > MOST_PENDING_BYTES) {
        return refused('peer-unreachable', 'not-run');
      }
      return start(connection, call);
    },
    requestTokens: (request) =>
      ask<LedgerGrant>(
        (sequence) => ({ $case: 'ledgerRequest', value: { sequence, ...request } }),
        channelTimes.tokens,
      ),
    exchange: (fields) =>
      ask<ExchangeFields>(
        (sequence) => ({ $case: 'exchange', value: { sequence, ...fields } }),
        channelTimes.message,
      ),
    close: () => {
      stopWatching?.();
      connector.close();
    },
  };
}
