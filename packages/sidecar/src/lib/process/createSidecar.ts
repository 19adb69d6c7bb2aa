import { createAdmissionController } from '@buckthornslip/admission';
import { refusesConnections, splitAddress } from '@buckthornslip/calls';
import type { AccountId, PartitionId } from '@buckthornslip/common';
import type { CallPolicy } from '@buckthornslip/config';
import { rankMembers } from '@buckthornslip/leases';
import { createAccountLedger, createLedgerRateLimiter } from '@buckthornslip/limits';
import type { Member, MemberDeparture } from '@buckthornslip/membership';
import { createRouter } from '@buckthornslip/routing';

import { channelTimes } from '../channel/channelTimes';
import { createPeerListener } from '../channel/createPeerListener';
import { createTicker } from '../channel/createTicker';
import type { ExchangeFields } from '../channel/PeerLink';
import { createMemberDirectory } from '../directory/createMemberDirectory';
import type { DirectoryPeers } from '../directory/DirectoryPeers';
import { memoizeByRevision } from '../directory/memoizeByRevision';
import { createEntry } from '../entry/createEntry';
import { createServiceRetryBudget } from '../entry/createServiceRetryBudget';
import { createConnectionPools } from '../http/createConnectionPools';
import { createPeerLinks } from '../peers/createPeerLinks';
import { fromExchangeFields, toExchangeFields } from '../peers/exchangeCodec';
import { createPolicyFetcher } from '../policy/createPolicyFetcher';
import { createPolicyWatcher } from '../policy/createPolicyWatcher';
import { policyKnowledgeOf } from '../policy/policyKnowledgeOf';
import type { RouteTable } from '../policy/createRouteTable';
import { createRouteTable } from '../policy/createRouteTable';
import type { PriorityRanks } from '../policy/createPriorityRanks';
import { createPriorityRanks } from '../policy/createPriorityRanks';
import { createLedgerLocator } from '../quota/createLedgerLocator';
import { createLedgerPeers } from '../quota/createLedgerPeers';
import { createRepeatLimit } from '../serving/createRepeatLimit';
import { createRunningCalls } from '../serving/createRunningCalls';
import { createInterruptedCalls } from '../serving/createInterruptedCalls';
import { createStatedLimit } from '../serving/createStatedLimit';
import { createSuspects } from '../serving/createSuspects';
import { createCallServer } from '../serving/createCallServer';
import { createUpstreamRegistry } from '../serving/createUpstreamRegistry';
import { isSameStart } from '../serving/isSameStart';
import type { UpstreamInstance } from '../serving/UpstreamInstance';
import type { UpstreamView } from '../serving/UpstreamRegistry';
import { createCallerListener } from './createCallerListener';
import { createLagMonitor } from './createLagMonitor';
import { createSidecarMetrics } from './createSidecarMetrics';
import { drainServer, ACCEPTING_WHILE_STOPPING_MILLISECONDS } from './drainServer';
import { linkBudget } from './linkBudget';
import type { Sidecar } from './Sidecar';
import type { SidecarOptions } from './SidecarOptions';
import { sidecarRouterSettings } from './sidecarRouterSettings';

/** Timeouts of connections to the local upstream, which is on the same host. */
const UPSTREAM_CONNECTIONS = { idleMilliseconds: 8_000, connectMilliseconds: 400 } as const;

/** Connections to the upstream until a policy sets a number. */
const DEFAULT_UPSTREAM_CONNECTIONS = 256;

/** Share of the allowed retries that entry nodes use. Repeated calls make nested calls again, which count as well. */
const ENTRY_RETRY_SHARE = 0.85;

/** Retries for each service that an entry node saves. The nodes of the upstreams limit what the fleet sends. */
const ENTRY_RETRY_BURST = 5;

/** Longest time for which a call waits in the queue of the upstream, in milliseconds. */
const QUEUE_TARGET_MILLISECONDS = 400;

/**
 * Time for which a stopping node continues to accept calls for its upstream, in milliseconds. In a rolling stop several
 * nodes of one service stop at once; calls that start in this time still have four seconds of the stop limit to
 * complete.
 */
const SERVING_WHILE_STOPPING_MILLISECONDS = 1_200;

function departureOf(
  { id, startedMilliseconds }: UpstreamInstance,
  state: UpstreamView['state'],
): MemberDeparture | undefined {
  if (state !== 'draining' && state !== 'left') return undefined;
  return { id, startedMilliseconds, state };
}

function initialMember(options: SidecarOptions): Member {
  const { host, incarnation, listeners, region, zone } = options;
  return {
    host,
    incarnation,
    version: 1,
    service: undefined,
    region,
    zone,
    peerAddress: listeners.peers,
    controlAddress: listeners.peers,
    slots: 0,
    connections: 0,
    state: 'starting',
    alive: true,
  };
}

/**
 * Creates a sidecar: the node of one upstream, on a platform whose store holds the policy and the member records.
 *
 * @param options - Identity, addresses, settings and dependencies.
 * @returns The sidecar, not yet started.
 * @public
 */
export function createSidecar(options: SidecarOptions): Sidecar {
  const { clock, host, incarnation, listeners, logger, protocol, random } = options;
  const { region, service, store, zone } = options;
  const metrics = createSidecarMetrics();
  // Upstreams occupy a slot while they wait for nested calls, so their latency is a poor signal of their load.
  const admission = createAdmissionController({ clock, adaptsToLatency: false });
  const ticker = createTicker(clock, channelTimes.checkInterval);
  const links = createPeerLinks({
    clock,
    logger,
    ticker,
    self: { host, incarnation },
    onReceived: () => recordContact(),
  });
  const lag = createLagMonitor(clock, logger);
  let isStopping = false;
  let isDraining = false;
  let refusesCallers = false;
  let routes: RouteTable | undefined;
  let priorityRanks: PriorityRanks | undefined;
  let upstreamConnections = DEFAULT_UPSTREAM_CONNECTIONS;
  const upstreamConnectionPools = createConnectionPools(clock, () => ({
    ...UPSTREAM_CONNECTIONS,
    maximumConnections: upstreamConnections,
  }));

  const policy = createPolicyWatcher({
    clock,
    store,
    logger,
    key: options.policyKey,
    decode: options.decodePolicy,
    firstConfirmationShare: () => relayShare(),
    onChange: (next) => applyPolicy(next),
  });
  const policyRevision = (): number => policy.current()?.revision ?? 0;

  const exchangeWithPeer: DirectoryPeers['exchange'] = async (address, message) => {
    const fields = toExchangeFields(message, undefined, false);
    const answer = await links.get(address).exchange(fields);
    return answer && fromExchangeFields(answer);
  };
  const policyFetcher = createPolicyFetcher({
    clock,
    logger,
    currentRevision: policyRevision,
    request: (address) => requestPolicy(address),
    offer: policy.offer,
    readStore: policy.refresh,
  });
  const directory = createMemberDirectory({
    self: initialMember(options),
    clock,
    random,
    store,
    logger,
    isFirstStart: options.isFirstStart,
    policyApplyMilliseconds: options.policyApplyMilliseconds,
    policyKnowledge: policy.knowledge,
    onPolicyKnowledge: policy.learn,
    peers: { exchange: exchangeWithPeer },
    hasConnections: () => links.hasOpen() || hasIncoming(),
    onNewerPolicy: policyFetcher.announce,
    onFollowPolicy: policy.setFollowing,
    onEarlierDeparture: (departure) => restoreDeparture(departure),
  });

  function recordContact(): void {
    directory.recordContact();
  }

  function relayShare(): number {
    return directory.relayShare();
  }

  async function requestPolicy(address: string): Promise<Uint8Array | undefined> {
    const fields = toExchangeFields(directory.currentMessage(), undefined, true);
    const sentMilliseconds = clock.monotonicMilliseconds();
    const answer = await links.get(address).exchange(fields);
    const message = answer && fromExchangeFields(answer);
    const roundTripMilliseconds = clock.monotonicMilliseconds() - sentMilliseconds;
    if (message) policy.learn(policyKnowledgeOf(message, roundTripMilliseconds));
    return answer?.policy;
  }

  const statedLimit = createStatedLimit({
    logger,
    isFirstStart: options.isFirstStart,
    setMaximumRunning: admission.setMaximumRunning,
    setRateLimit: admission.setRateLimit,
  });
  const onUpstreamChange = ({ instance, state }: UpstreamView): void => {
    statedLimit.startInstance(instance);
    if (state === 'left') recordUpstreamDeparture(instance);
    const { coldStartMilliseconds, slots } = instance;
    const memberState = state === 'lost' ? 'starting' : state;
    admission.setCapacity({
      state: memberState,
      slots,
      coldStartMilliseconds,
      queueTargetMilliseconds: QUEUE_TARGET_MILLISECONDS,
    });
    directory.update({
      service: instance.service,
      slots,
      state: isDraining ? 'draining' : memberState,
      departure: departureOf(instance, state),
    });
  };
  const upstream = createUpstreamRegistry({
    clock,
    logger,
    announcementMilliseconds: options.announcementMilliseconds,
    onChange: onUpstreamChange,
    onStart: (instance, previous) => recordUpstreamStart(instance, previous),
    onDeparture: (departure) => {
      // A later process of this node needs it as well, unless another upstream has taken its place.
      const state = upstream.current()?.state;
      if (state === undefined || state === 'lost') directory.update({ departure });
    },
  });

  function restoreDeparture(departure: MemberDeparture): void {
    upstream.restoreDeparture(departure);
  }

  const allowanceOf = (account: AccountId) => policy.current()?.accounts.get(account);
  const ledger = createAccountLedger(clock, {
    allowanceOf,
    isFirstStart: options.isFirstStart,
    share: directory.rateShare,
    hasLostNodes: directory.hasLostNodes,
  });
  const locator = createLedgerLocator(directory);
  const { suspect, whenInformed } = directory;
  const rateLimiter = createLedgerRateLimiter({
    clock,
    ledgers: createLedgerPeers({ logger, host, ledger, locator, links, suspect, whenInformed }),
    allowanceOf,
    nodeCount: () => directory.livePeers().length + 1,
  });

  const router = createRouter({
    region,
    zone,
    membership: directory,
    clock,
    random,
    logger,
    linkBudget: () => linkBudget,
    settings: sidecarRouterSettings,
  });
  const poolOf = upstreamConnectionPools.get;
  const suspects = createSuspects({
    clock,
    random,
    logger,
    refusesConnections: (address) => refusesConnections(splitAddress(address)),
    onCrash: (start) => {
      const current = upstream.current();
      if (current && isSameStart(current.instance, start)) upstream.markLost();
    },
    isTrialNode: (fingerprint) => {
      const nodes = directory.members(service).filter(({ state }) => state === 'ready');
      const [first] = rankMembers(`suspect/${fingerprint}` as PartitionId, nodes);
      return first?.host === host;
    },
    peers: () =>
      directory
        .members(service)
        .filter((member) => member.host !== host)
        .map(({ peerAddress }) => ({ share: links.get(peerAddress).shareSuspects })),
  });
  const interruptedCalls = createInterruptedCalls(clock, suspects.recordLost);

  function recordUpstreamStart(
    instance: UpstreamInstance,
    previous: UpstreamInstance | undefined,
  ): void {
    if (previous) suspects.recordEnd(previous, 'successor-announced');
    interruptedCalls.setStart(instance);
  }

  function recordUpstreamDeparture(instance: UpstreamInstance): void {
    suspects.recordDeparture(instance);
  }

  const runningCalls = createRunningCalls();
  const callServer = createCallServer({
    clock,
    admission,
    upstream,
    poolOf,
    protocol,
    running: runningCalls,
    statedLimit,
    suspects,
    repeats: createRepeatLimit({
      ...options.retries,
      upstreamCount: memoizeByRevision(directory.revision, () => directory.members(service).length),
    }),
    logger,
  });
  const entry = createEntry({
    clock,
    random,
    logger,
    metrics,
    protocol,
    policy,
    routes: () => routes,
    priorityRanks: () => priorityRanks,
    running: runningCalls,
    rateLimiter,
    router,
    refreshMember: suspect,
    retries: createServiceRetryBudget({
      ratio: options.retries.ratio * ENTRY_RETRY_SHARE,
      burst: ENTRY_RETRY_BURST,
    }),
    callServer,
    host,
    callerService: service,
    links,
    uploadBytes: options.connectionLimits.uploadBytes,
    isStopping: () => isStopping,
    refusesCallers: () => refusesCallers,
  });

  const callers = createCallerListener(logger, entry.handle, {
    clock,
    limits: options.connectionLimits,
    count: (reason) => metrics.countLimitedConnection('callers', reason),
  });
  function applyPolicy(next: CallPolicy): void {
    routes = createRouteTable(next, random);
    priorityRanks = createPriorityRanks(next);
    upstreamConnections = next.services.get(service)?.connections ?? upstreamConnections;
    callers.apply(next.requestLimits);
    directory.announcePolicy();
  }

  const answerExchange = (fields: ExchangeFields): ExchangeFields => {
    const message = fromExchangeFields(fields);
    const answer = message ? directory.receive(message) : directory.currentMessage();
    return toExchangeFields(answer, fields.wantsPolicy ? policy.currentBytes() : undefined, false);
  };
  const peerListener = createPeerListener(
    { clock, logger, self: { host, incarnation }, onReceived: recordContact },
    {
      serve: callServer.serve,
      grant: ledger.grant,
      exchange: answerExchange,
      mergeSuspects: suspects.merge,
      recordInterrupted: interruptedCalls.add,
    },
  );

  function hasIncoming(): boolean {
    return peerListener.hasOpen();
  }

  const addGauges = (): void => {
    const { addGauge } = metrics;
    const { load } = admission;
    addGauge('running', 'Calls running at the upstream', () => load().running);
    addGauge('queued', 'Calls waiting for the upstream', () => load().queued);
    addGauge('limit', 'Calls that may run at once', () => load().limit);
    addGauge('policy_revision', 'Revision of the policy in force', policyRevision);
    addGauge(
      'policy_age',
      'Time since the policy in force was known to be the newest, in milliseconds; -1 if it never was',
      () => (Number.isFinite(policy.ageMilliseconds()) ? policy.ageMilliseconds() : -1),
    );
    addGauge(
      'event_loop_delay',
      'Last measured delay of timers, in milliseconds',
      lag.delayMilliseconds,
    );
    addGauge('members', 'Other nodes that answer', () => directory.livePeers().length);
    addGauge('in_progress', 'Requests without a complete answer', entry.inProgress);
  };

  /** Schedules the later phases of a shutdown; the returned function cancels the phases that have not begun. */
  const scheduleStopPhases = (): (() => void) => {
    const cancelDraining = clock.setTimer(SERVING_WHILE_STOPPING_MILLISECONDS, () => {
      isDraining = true;
      directory.update({ state: 'draining' });
    });
    const cancelRefusing = clock.setTimer(ACCEPTING_WHILE_STOPPING_MILLISECONDS, () => {
      refusesCallers = true;
    });
    return () => {
      cancelDraining();
      cancelRefusing();
    };
  };

  const closeAll = (): void => {
    lag.stop();
    peerListener.close();
    directory.close();
    policy.close();
    upstream.close();
    suspects.close();
    router.close();
    links.close();
    upstreamConnectionPools.close();
    store.close();
  };

  const stop = async (): Promise<void> => {
    isStopping = true;
    const deadline = clock.monotonicMilliseconds() + options.stopMilliseconds;
    const running = (): number => admission.load().running;
    const inProgress = (): number => entry.inProgress() + running();
    logger.log('processStopping', { host, inProgress: entry.inProgress() });
    const cancelPhases = scheduleStopPhases();
    await drainServer({ clock, listener: callers, running, inProgress, deadline });
    cancelPhases();
    await Promise.race([directory.leave(), clock.sleep(deadline - clock.monotonicMilliseconds())]);
    closeAll();
    logger.log('processStopped', { host, inProgress: inProgress() });
  };

  return {
    upstream,
    metrics,
    notReadyReason: () => {
      if (isStopping) return 'stopping';
      return policy.current() ? undefined : 'no policy in force';
    },
    start: async () => {
      addGauges();
      await Promise.all([peerListener.listen(listeners.peers), callers.listen(listeners.callers)]);
      directory.start();
      logger.log('processStarted', { host, incarnation, region, zone, service });
    },
    stop,
  };
}
