import { failure, priorityRank, success } from '@buckthornslip/common';
import type { Result } from '@buckthornslip/common';

import { createPriorityCutoff } from '../cutoff/createPriorityCutoff';
import { createAdaptiveLimit } from '../limit/createAdaptiveLimit';
import { createStartRates } from '../limit/createStartRates';
import { createExpiryTimer } from '../queue/createExpiryTimer';
import { createPriorityQueue } from '../queue/createPriorityQueue';
import { createStandingQueueTarget } from '../queue/createStandingQueueTarget';
import type { QueuedCall } from '../queue/QueuedCall';
import type { ServiceTimeEstimate } from '../service/createServiceTimeEstimate';
import { createServiceTimeEstimate } from '../service/createServiceTimeEstimate';
import { createUpstreamWork } from '../work/createUpstreamWork';
import type { AdmissionController } from './AdmissionController';
import type { AdmissionOptions } from './AdmissionOptions';
import type { AdmissionRefusal } from './AdmissionRefusal';
import type { AdmissionRequest } from './AdmissionRequest';
import type { AdmissionPermit } from './AdmissionPermit';
import { createSlots } from './createSlots';
import { refusalOfExpiredCall } from './refusalOfExpiredCall';
import type { UpstreamCapacity } from './UpstreamCapacity';

/** Bounds the memory used by the queue: a queued call takes less than a kilobyte. */
const DEFAULT_QUEUE_CAPACITY = 2_048;

/**
 * While fewer calls than this share of the limit run, the service time estimate is ignored, so that it gets new
 * samples.
 */
const SAMPLING_SHARE = 0.1;

const MILLISECONDS_PER_SECOND = 1_000;

/** Maximum number of request classes with a service time estimate; routes come and go with policy revisions. */
const MAXIMUM_REQUEST_CLASSES = 1_024;

/** Capacity before the first announcement: no call runs, but calls may queue for a short time. */
const UNANNOUNCED: UpstreamCapacity = {
  state: 'starting',
  slots: 0,
  coldStartMilliseconds: 0,
  queueTargetMilliseconds: 100,
};

type Admission = Result<AdmissionPermit, AdmissionRefusal>;

/** A call admitted without waiting returns its result directly. */
const ignoreResult = (): void => undefined;

/**
 * Creates the admission controller of one upstream.
 *
 * @param options - Clock, queue capacity and inputs of the limit.
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
  const startRate = createStartRates(clock);
  /** Service time of all classes together. */
  const meanServiceTime = createServiceTimeEstimate(clock);
  const queue = createPriorityQueue(() => options.queueCapacity ?? DEFAULT_QUEUE_CAPACITY);
  const waiting = new Set<QueuedCall>();
  const work = options.estimatesWork ? createUpstreamWork(clock) : undefined;
  let capacity = UNANNOUNCED;
  let maximumRunning = Infinity;
  let cancelRateTimer: (() => void) | undefined;

  /** Service times of request classes differ by an order of magnitude, so each class has its own estimate. */
  const serviceTimeOf = (requestClass = ''): ServiceTimeEstimate => {
    const known = serviceTimes.get(requestClass);
    if (known) return known;
    if (serviceTimes.size >= MAXIMUM_REQUEST_CLASSES) serviceTimes.clear();
    const created = createServiceTimeEstimate(clock);
    serviceTimes.set(requestClass, created);
    return created;
  };

  const currentLimit = (): number =>
    capacity.state === 'ready' ? Math.min(limit.current(), maximumRunning) : 0;
  const isLeaving = (): boolean => capacity.state === 'draining' || capacity.state === 'left';

  const settle = (call: QueuedCall, result: Admission): void => {
    if (waiting.delete(call)) work?.dequeue(call);
    if (waiting.size === 0) target.recordEmpty();
    call.settle(result);
  };

  const refuse = (call: QueuedCall, refusal: AdmissionRefusal): void => {
    if (refusal.kind === 'queue-full' || refusal.kind === 'queue-timeout')
      cutoff.recordRefusal(call.rank);
    settle(call, failure(refusal));
  };

  const createPermit = (call: QueuedCall): AdmissionPermit => {
    const startedMilliseconds = now();
    const runningCall = work?.start(call.costMilliseconds) ?? 0;
    let isReleased = false;
    return {
      queuedMilliseconds: startedMilliseconds - call.arrivedMilliseconds,
      release: (outcome) => {
        if (isReleased) return;
        isReleased = true;
        slots.end(call.isolated);
        work?.end(runningCall);
        if (outcome === 'completed') {
          const tookMilliseconds = now() - startedMilliseconds;
          call.serviceTime.add(tookMilliseconds);
          meanServiceTime.add(tookMilliseconds);
          work?.recordTime(call.costMilliseconds, tookMilliseconds);
        }
        limit.observe({ startedMilliseconds, endedMilliseconds: now(), outcome });
        startQueuedCalls();
      },
    };
  };

  /** Starts queued calls again when the limit of calls per second allows the next one. */
  const scheduleNextStart = (): void => {
    cancelRateTimer?.();
    cancelRateTimer = clock.setTimer(startRate.delayMilliseconds(), startQueuedCalls);
  };

  const canStart = (isIsolated: boolean): boolean =>
    slots.hasRoom(currentLimit(), isIsolated) && startRate.delayMilliseconds() === 0;

  const start = (call: QueuedCall): AdmissionPermit => {
    slots.start(call.isolated);
    startRate.start();
    return createPermit(call);
  };

  function startQueuedCalls(): void {
    let call = queue.peek();
    while (call && canStart(call.isolated)) {
      queue.take();
      settle(call, success(start(call)));
      call = queue.peek();
    }
    if (call && slots.hasRoom(currentLimit(), call.isolated)) scheduleNextStart();
    if (!call && slots.running() < currentLimit()) cutoff.recordIdleSlot();
    if (call) limit.recordSaturation();
  }

  const expiry = createExpiryTimer(
    clock,
    (call) => waiting.has(call),
    (call) => {
      queue.remove(call);
      refuse(call, refusalOfExpiredCall(call));
      // The expired call may have blocked others, for example because it was isolated.
      startQueuedCalls();
    },
  );

  const cancel = (call: QueuedCall): void => {
    if (!waiting.has(call)) return;
    queue.remove(call);
    refuse(call, { kind: 'caller-gone' });
    startQueuedCalls();
  };

  const enqueue = (call: QueuedCall): void => {
    if (work?.isTooLate(call, currentLimit())) {
      call.settle(failure({ kind: 'deadline-unreachable' }));
      return;
    }
    waiting.add(call);
    work?.enqueue(call);
    const dropped = queue.add(call);
    startQueuedCalls();
    if (dropped) refuse(dropped, { kind: 'queue-full' });
    if (waiting.has(call)) expiry.add(call);
  };

  const isSampling = (): boolean => slots.running() < Math.max(1, currentLimit() * SAMPLING_SHARE);

  const refuseOnArrival = (request: AdmissionRequest): AdmissionRefusal | undefined => {
    if (isLeaving()) return { kind: 'upstream-draining' };
    const isDeadlineUnreachable =
      request.remainingMilliseconds < serviceTimeOf(request.requestClass).current() &&
      !isSampling();
    if (request.remainingMilliseconds <= 0 || isDeadlineUnreachable)
      return { kind: 'deadline-unreachable' };
    const rank = priorityRank[request.priority];
    cutoff.recordArrival(rank);
    const mustWait = queue.size() > 0 || !canStart(false);
    if (mustWait && rank >= cutoff.rank()) return { kind: 'priority-cutoff' };
    return undefined;
  };

  const createQueuedCall = (
    request: AdmissionRequest,
    settleCall: QueuedCall['settle'],
  ): QueuedCall => {
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
      costMilliseconds: request.costMilliseconds ?? 0,
    };
  };

  const waitForSlot = (request: AdmissionRequest, signal?: AbortSignal): Promise<Admission> =>
    new Promise((resolve) => {
      let call: QueuedCall | undefined;
      const onAbort = (): void => {
        if (call) cancel(call);
      };
      call = createQueuedCall(request, (result) => {
        signal?.removeEventListener('abort', onAbort);
        resolve(result);
      });
      signal?.addEventListener('abort', onAbort, { once: true });
      enqueue(call);
    });

  const canStartNow = (request: AdmissionRequest): boolean =>
    queue.size() === 0 && canStart(request.isolated);

  /** Calls that run at once if they start at the limited rate. */
  const runningAtLimitedRate = (): number =>
    Math.max(
      1,
      Math.ceil((startRate.perSecond() * meanServiceTime.current()) / MILLISECONDS_PER_SECOND),
    );

  const reportedLimit = (): number =>
    startRate.perSecond() === Infinity
      ? currentLimit()
      : Math.min(currentLimit(), runningAtLimitedRate());

  return {
    tryAdmit: (request) => {
      if (!canStartNow(request)) return undefined;
      const refusal = refuseOnArrival(request);
      if (refusal) return failure(refusal);
      return success(start(createQueuedCall(request, ignoreResult)));
    },
    admit: (request, signal) => {
      if (signal?.aborted) return Promise.resolve(failure({ kind: 'caller-gone' }));
      const refusal = refuseOnArrival(request);
      return refusal ? Promise.resolve(failure(refusal)) : waitForSlot(request, signal);
    },
    setCapacity: (announced) => {
      const isRestart = announced.state === 'ready' && capacity.state !== 'ready';
      capacity = announced;
      limit.setSlots(announced.slots, announced.coldStartMilliseconds, isRestart);
      if (isLeaving()) queue.clear().forEach((call) => refuse(call, { kind: 'upstream-draining' }));
      startQueuedCalls();
    },
    setRateLimit: (perSecond, source = 'stated') => {
      startRate.setLimit(source, perSecond);
      startQueuedCalls();
    },
    setMaximumRunning: (calls) => {
      maximumRunning = calls;
      startQueuedCalls();
    },
    load: () => ({
      running: slots.running(),
      queued: queue.size(),
      limit: reportedLimit(),
      cutoffRank: cutoff.rank(),
      ...(work && { workMilliseconds: work.milliseconds(), speed: work.speed() }),
    }),
  };
}
