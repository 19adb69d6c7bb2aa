import { failure, priorityRank, success } from '@buckthornslip/common';
import type { Result } from '@buckthornslip/common';

import { createPriorityCutoff } from '../cutoff/createPriorityCutoff';
import { createAdaptiveLimit } from '../limit/createAdaptiveLimit';
import { createExpiryTimer } from '../queue/createExpiryTimer';
import { createPriorityQueue } from '../queue/createPriorityQueue';
import { createStandingQueueTarget } from '../queue/createStandingQueueTarget';
import type { QueuedCall } from '../queue/QueuedCall';
import type { ServiceTimeEstimate } from '../service/createServiceTimeEstimate';
import { createServiceTimeEstimate } from '../service/createServiceTimeEstimate';
import type { AdmissionController } from './AdmissionController';
import type { AdmissionOptions } from './AdmissionOptions';
import type { AdmissionRefusal } from './AdmissionRefusal';
import type { AdmissionRequest } from './AdmissionRequest';
import type { AdmissionPermit } from './AdmissionPermit';
import { createSlots } from './createSlots';
import { refusalOfExpiredCall } from './refusalOfExpiredCall';
import type { UpstreamCapacity } from './UpstreamCapacity';

/** Bounds the memory of the queue: a queued call takes less than a kilobyte. */
const DEFAULT_QUEUE_CAPACITY = 2_048;

/** Share of the limit that runs calls even if their deadline looks out of reach, to measure the upstream again. */
const MEASURING_SHARE = 0.1;

/** Kinds of work whose times are remembered; routes come and go with policies. */
const MOST_KINDS_OF_WORK = 1_024;

/** Nothing runs before the upstream has announced itself; calls wait for a moment. */
const UNANNOUNCED: UpstreamCapacity = {
  state: 'starting',
  slots: 0,
  coldStartMilliseconds: 0,
  queueTargetMilliseconds: 100,
};

type Admission = Result<AdmissionPermit, AdmissionRefusal>;

/** A call that starts without waiting has nobody to tell. */
const settleNothing = (): void => undefined;

/**
 * Creates the admission controller of one upstream.
 *
 * @param options - Clock and size of the queue.
 * @returns A controller that admits nothing until the upstream's capacity is set.
 * @public
 */
export function createAdmissionController(options: AdmissionOptions): AdmissionController {
  const { clock } = options;
  const now = clock.monotonicMilliseconds;
  const limit = createAdaptiveLimit(clock, options.adaptsToLatency);
  const cutoff = createPriorityCutoff(clock);
  const serviceTimes = new Map<string, ServiceTimeEstimate>();
  const target = createStandingQueueTarget(clock);
  const slots = createSlots();
  const queue = createPriorityQueue(() => options.queueCapacity ?? DEFAULT_QUEUE_CAPACITY);
  const waiting = new Set<QueuedCall>();
  let capacity = UNANNOUNCED;

  /** Kinds of work differ in their times by an order of magnitude, so that each has an estimate of its own. */
  const serviceTimeOf = (requestClass = ''): ServiceTimeEstimate => {
    const known = serviceTimes.get(requestClass);
    if (known) return known;
    if (serviceTimes.size >= MOST_KINDS_OF_WORK) serviceTimes.clear();
    const created = createServiceTimeEstimate(clock);
    serviceTimes.set(requestClass, created);
    return created;
  };

  const currentLimit = (): number => (capacity.state === 'ready' ? limit.current() : 0);
  const isLeaving = (): boolean => capacity.state === 'draining' || capacity.state === 'left';

  const settle = (call: QueuedCall, result: Admission): void => {
    waiting.delete(call);
    if (waiting.size === 0) target.noteEmpty();
    call.settle(result);
  };

  const refuse = (call: QueuedCall, refusal: AdmissionRefusal): void => {
    if (refusal.kind === 'queue-full' || refusal.kind === 'queue-timeout')
      cutoff.noteRefusal(call.rank);
    settle(call, failure(refusal));
  };

  const createPermit = (call: QueuedCall): AdmissionPermit => {
    const startedMilliseconds = now();
    let isReleased = false;
    return {
      queuedMilliseconds: startedMilliseconds - call.arrivedMilliseconds,
      release: (outcome) => {
        if (isReleased) return;
        isReleased = true;
        slots.end(call.isolated);
        if (outcome === 'completed') call.serviceTime.add(now() - startedMilliseconds);
        limit.observe({ startedMilliseconds, endedMilliseconds: now(), outcome });
        startQueuedCalls();
      },
    };
  };

  function startQueuedCalls(): void {
    let call = queue.peek();
    while (call && slots.hasRoom(currentLimit(), call.isolated)) {
      queue.take();
      slots.start(call.isolated);
      settle(call, success(createPermit(call)));
      call = queue.peek();
    }
    if (!call && slots.running() < currentLimit()) cutoff.noteSlack();
    if (call) limit.noteSaturated();
  }

  const expiry = createExpiryTimer(
    clock,
    (call) => waiting.has(call),
    (call) => {
      queue.remove(call);
      refuse(call, refusalOfExpiredCall(call));
      // The call may have held others back, for example an isolated one.
      startQueuedCalls();
    },
  );

  const withdraw = (call: QueuedCall): void => {
    if (!waiting.has(call)) return;
    queue.remove(call);
    refuse(call, { kind: 'caller-gone' });
    startQueuedCalls();
  };

  const enqueue = (call: QueuedCall): void => {
    waiting.add(call);
    const dropped = queue.add(call);
    startQueuedCalls();
    if (dropped) refuse(dropped, { kind: 'queue-full' });
    if (waiting.has(call)) expiry.add(call);
  };

  const isMeasuring = (): boolean =>
    slots.running() < Math.max(1, currentLimit() * MEASURING_SHARE);

  const refuseOnArrival = (request: AdmissionRequest): AdmissionRefusal | undefined => {
    if (isLeaving()) return { kind: 'upstream-draining' };
    const isHopeless =
      request.remainingMilliseconds < serviceTimeOf(request.requestClass).current() &&
      !isMeasuring();
    if (request.remainingMilliseconds <= 0 || isHopeless) return { kind: 'deadline-unreachable' };
    const rank = priorityRank[request.priority];
    cutoff.noteArrival(rank);
    const mustWait = queue.size() > 0 || slots.running() >= currentLimit();
    if (mustWait && rank >= cutoff.rank()) return { kind: 'priority-cutoff' };
    return undefined;
  };

  const createCall = (request: AdmissionRequest, settleCall: QueuedCall['settle']): QueuedCall => {
    const arrivedMilliseconds = now();
    const serviceTime = serviceTimeOf(request.requestClass);
    const slack = Math.max(0, request.remainingMilliseconds - serviceTime.current());
    const latestStartMilliseconds = arrivedMilliseconds + slack;
    const longestWait = target.current(capacity.queueTargetMilliseconds);
    return {
      rank: priorityRank[request.priority],
      accountKey: request.account ?? '',
      depth: request.depth,
      isolated: request.isolated,
      arrivedMilliseconds,
      latestStartMilliseconds,
      expiresMilliseconds: Math.min(latestStartMilliseconds, arrivedMilliseconds + longestWait),
      settle: settleCall,
      serviceTime,
    };
  };

  const wait = (request: AdmissionRequest, signal?: AbortSignal): Promise<Admission> =>
    new Promise((resolve) => {
      let call: QueuedCall | undefined;
      const onAbort = (): void => {
        if (call) withdraw(call);
      };
      call = createCall(request, (result) => {
        signal?.removeEventListener('abort', onAbort);
        resolve(result);
      });
      signal?.addEventListener('abort', onAbort, { once: true });
      enqueue(call);
    });

  const canStartAtOnce = (request: AdmissionRequest): boolean =>
    queue.size() === 0 && slots.hasRoom(currentLimit(), request.isolated);

  return {
    tryAdmit: (request) => {
      if (!canStartAtOnce(request)) return undefined;
      const refusal = refuseOnArrival(request);
      if (refusal) return failure(refusal);
      slots.start(request.isolated);
      return success(createPermit(createCall(request, settleNothing)));
    },
    admit: (request, signal) => {
      if (signal?.aborted) return Promise.resolve(failure({ kind: 'caller-gone' }));
      const refusal = refuseOnArrival(request);
      return refusal ? Promise.resolve(failure(refusal)) : wait(request, signal);
    },
    setCapacity: (announced) => {
      const isRestart = announced.state === 'ready' && capacity.state !== 'ready';
      capacity = announced;
      limit.announce(announced.slots, announced.coldStartMilliseconds, isRestart);
      if (isLeaving()) queue.clear().forEach((call) => refuse(call, { kind: 'upstream-draining' }));
      startQueuedCalls();
    },
    load: () => ({
      running: slots.running(),
      queued: queue.size(),
      limit: currentLimit(),
      cutoffRank: cutoff.rank(),
    }),
  };
}
