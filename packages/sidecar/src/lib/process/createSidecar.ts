import { createAdmissionController } from '@buckthornslip/admission';
import { refusesConnections, splitAddress } from '@buckthornslip/calls';
import type { AccountId, PartitionId } from '@buckthornslip/common';
import type { CallPolicy } from '@buckthornslip/config';
import { rankMembers } from '@buckthornslip/leases';
import { createAccountLedger, createLedgerRateLimiter } from '@buckthornslip/limits';
import type { Member, MemberDeparture, MemberState } from '@buckthornslip/membership';
import { createRouter } from '@buckthornslip/routing';
import { skipWhile } from 'rxjs';

import { channelTimes } from '../channel/channelTimes';
import { createPeerListener } from '../channel/createPeerListener';
import { createTicker } from '../channel/createTicker';
import type { ExchangeFields } from '../channel/PeerLink';
import { createMemberDirectory } from '../directory/createMemberDirectory';
import type { DirectoryPeers } from '../directory/DirectoryPeers';
import { memoizeByRevision } from '../directory/memoizeByRevision';
import { announcementDelay } from '../evacuation/announcementDelay';
import { createEvacuationOrders } from '../evacuation/createEvacuationOrders';
import { createServingGate } from '../evacuation/createServingGate';
import { createStatementSender } from '../evacuation/createStatementSender';
import { createZoneMembership } from '../evacuation/createZoneMembership';
import { trackUnknownZones } from '../evacuation/trackUnknownZones';
import { createEntry } from '../entry/createEntry';
import { createServiceRetryBudget } from '../entry/createServiceRetryBudget';
import { createConnectionPools } from '../http/createConnectionPools';
import { createPeerLinks } from '../peers/createPeerLinks';
import { fromExchangeFields, toExchangeFields } from '../peers/exchangeCodec';
import { createPolicyFaultReporter } from '../policy/createPolicyFaultReporter';
import { createPolicyFetcher } from '../policy/createPolicyFetcher';
import { createPolicyWatcher } from '../policy/createPolicyWatcher';
import { createRegionCheck } from '../policy/createRegionCheck';
import { policyKnowledgeOf } from '../policy/policyKnowledgeOf';
import { regionsOfAttempt } from '../policy/regionsOfAttempt';
import type { RouteTable } from '../policy/createRouteTable';
import { createRouteTable } from '../policy/createRouteTable';
import type { PriorityRanks } from '../policy/createPriorityRanks';
import { createPriorityRanks } from '../policy/createPriorityRanks';
import { createLedgerLocator } from '../quota/createLedgerLocator';
import { createLedgerPeers } from '../quota/createLedgerPeers';
import { createCallCosts } from '../serving/createCallCosts';
import { createColdLimit } from '../serving/createColdLimit';
import { createColdProbe } from '../serving/createColdProbe';
import { createRepeatLimit } from '../serving/createRepeatLimit';
import { createRunningCalls } from '../serving/createRunningCalls';
import { createNestedShares } from '../serving/createNestedShares';
import { createInterruptedCalls } from '../serving/createInterruptedCalls';
import { createSlowUpstreamLog } from '../serving/createSlowUpstreamLog';
import { createStatedLimit } from '../serving/createStatedLimit';
import { createSuspects } from '../serving/createSuspects';
import { createCallServer } from '../serving/createCallServer';
import { createUpstreamRegistry } from '../serving/createUpstreamRegistry';
import { requestHealth } from '../serving/requestHealth';
import { isSameStart } from '../serving/isSameStart';
import type { UpstreamInstance } from '../serving/UpstreamInstance';
import type { UpstreamView } from '../serving/UpstreamRegistry';
import { addSidecarGauges } from './addSidecarGauges';
import { createCallerListener } from './createCallerListener';
import { createLagMonitor } from './createLagMonitor';
import { createSidecarMetrics } from './createSidecarMetrics';
import { createStopBound } from './createStopBound';
import { createTurnPacer } from './createTurnPacer';
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
  const admission = createAdmissionController({
    clock,
    adaptsToLatency: false,
    estimatesWork: options.placesByExpectedWork,
  });
  const costs = options.placesByExpectedWork ? createCallCosts() : undefined;
  const ticker = createTicker(clock, channelTimes.checkInterval);
  const links = createPeerLinks({
    clock,
    logger,
    ticker,
    self: { host, incarnation },
    onReceived: () => recordContact(),
  });
  const lag = createLagMonitor(clock, logger);
  const pacer = createTurnPacer(lag.delayMilliseconds);
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

  const reportFaults = createPolicyFaultReporter(logger, metrics);
  const evacuations = createEvacuationOrders({
    clock,
    logger,
    keyPrefix: options.evacuationPrefix,
    retentionMilliseconds: options.orderRetentionMilliseconds,
  });
  const statements = createStatementSender(clock, evacuations);
  const policy = createPolicyWatcher({
    clock,
    store,
    logger,
    key: options.policyKey,
    prefix: options.operatorPrefix,
    evacuations,
    decode: options.decodePolicy,
    reportFaults,
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
    evacuationsToSend: statements.toSend,
    onEvacuations: evacuations.learn,
    hasConnections: () => links.hasOpen() || hasIncoming(),
    onNewerPolicy: policyFetcher.announce,
    onFollowPolicy: policy.setFollowing,
    onEarlierDeparture: (departure) => restoreDeparture(departure),
    onStoreRestored: metrics.countStoreRestore,
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
    if (!message) return undefined;
    if (message.evacuations) evacuations.learn(message.evacuations, message.from.host);
    // A node of an earlier release does not state any orders.
    if (!evacuations.statement()) policy.refresh();
    policy.learn(policyKnowledgeOf(message, roundTripMilliseconds));
    return answer.policy;
  }

  const statedLimit = createStatedLimit({
    logger,
    isFirstStart: options.isFirstStart,
    setMaximumRunning: admission.setMaximumRunning,
    setRateLimit: admission.setRateLimit,
  });
  const coldLimit = createColdLimit({
    clock,
    logger,
    announcementMilliseconds: options.announcementMilliseconds,
    setRateLimit: (perSecond) => admission.setRateLimit(perSecond, 'cold'),
    countLimit: metrics.countColdLimit,
  });
  const gate = createServingGate({
    zone,
    orders: evacuations,
    logger,
    running: () => admission.load().running,
    onChange: () => applyPermission(),
    onOwnZoneRestored: coldLimit.startAfterEvacuation,
  });
  /** Whether an earlier process of this node may have acknowledged a departure that this one does not know. */
  let mayHaveDeparted = true;
  const usableState = ({ state }: UpstreamView): MemberState => {
    if (state === 'lost') return 'starting';
    return state === 'ready' && mayHaveDeparted ? 'starting' : state;
  };
  const memberStateOf = (view: UpstreamView): MemberState => gate.memberState(usableState(view));
  const applyCapacity = (view: UpstreamView): void => {
    const { coldStartMilliseconds, slots } = view.instance;
    admission.setCapacity({
      state: memberStateOf(view),
      slots,
      coldStartMilliseconds,
      queueTargetMilliseconds: QUEUE_TARGET_MILLISECONDS,
    });
  };
  const announceUpstream = (view: UpstreamView): void => {
    const { instance, state } = view;
    directory.update({
      service: instance.service,
      slots: instance.slots,
      state: isDraining ? 'draining' : memberStateOf(view),
      departure: departureOf(instance, state),
    });
  };
  const onUpstreamChange = (view: UpstreamView): void => {
    statedLimit.startInstance(view.instance);
    if (view.state === 'left') recordUpstreamDeparture(view.instance);
    applyCapacity(view);
    announceUpstream(view);
  };
  const upstream = createUpstreamRegistry({
    clock,
    logger,
    announcementMilliseconds: options.announcementMilliseconds,
    onAnnouncement: coldLimit.announce,
    onChange: onUpstreamChange,
    onStart: (instance, previous) => recordUpstreamStart(instance, previous),
    onDeparture: (departure) => {
      // A later process of this node needs it as well, unless another upstream has taken its place.
      const state = upstream.current()?.state;
      if (state === undefined || state === 'lost') directory.update({ departure });
    },
  });

  function applyPermission(): void {
    const view = upstream.current();
    if (view) applyCapacity(view);
    const zoneNodes = 1 + directory.livePeers().filter((member) => member.zone === zone).length;
    clock.setTimer(announcementDelay(random, zoneNodes), () => {
      const latest = upstream.current();
      const isAnnounced = latest && directory.self().state === memberStateOf(latest);
      if (latest && !isAnnounced && !isStopping) announceUpstream(latest);
    });
  }

  /** Puts an upstream in use that was announced while its earlier departure could not be ruled out. */
  async function awaitDepartures(): Promise<void> {
    await directory.whenDeparturesKnown();
    mayHaveDeparted = false;
    const view = upstream.current();
    if (!view || isStopping) return;
    applyCapacity(view);
    announceUpstream(view);
  }

  function restoreDeparture(departure: MemberDeparture): void {
    upstream.restoreDeparture(departure);
  }

  const regionCheck = createRegionCheck({
    clock,
    knownRegions: () => new Set([region, ...directory.livePeers().map((peer) => peer.region)]),
    report: reportFaults,
  });
  const allowanceOf = (account: AccountId) => policy.current()?.accounts.get(account);
  const ledger = createAccountLedger(clock, {
    allowanceOf,
    isFirstStart: options.isFirstStart,
    share: directory.rateShare,
    hasLostNodes: directory.hasLostNodes,
  });
  const locator = createLedgerLocator(directory);
  const stopForgetting = ticker.add(() =>
    ledger.forgetMoved((account) => locator.locate(account)?.host === host),
  );
  const { suspect, whenInformed } = directory;
  const rateLimiter = createLedgerRateLimiter({
    clock,
    ledgers: createLedgerPeers({ logger, host, ledger, locator, links, suspect, whenInformed }),
    allowanceOf,
    nodeCount: () => directory.livePeers().length + 1,
  });

  const membership = createZoneMembership(directory, evacuations);
  const unknownZones = trackUnknownZones({ directory, orders: evacuations, logger });
  const router = createRouter({
    region,
    zone,
    membership,
    clock,
    random,
    logger,
    linkBudget: () => linkBudget,
    settings: sidecarRouterSettings,
  });
  const poolOf = upstreamConnectionPools.get;
  const mayAskUpstream = (): boolean => !isDraining && gate.refusal() === undefined;
  const coldProbe = createColdProbe({
    clock,
    logger,
    admission,
    upstream,
    limit: coldLimit,
    mayAsk: mayAskUpstream,
    request: async (instance) => {
      const path = policy.current()?.services.get(service)?.healthPath;
      if (path === undefined) return undefined;
      const pool = poolOf(instance.address);
      return requestHealth({ clock, protocol, instance, path, pool, maySend: mayAskUpstream });
    },
  });
  const suspects = createSuspects({
    clock,
    random,
    logger,
    refusesConnections: (address) => refusesConnections(splitAddress(address)),
    onCrash: (start) => {
      const current = upstream.current();
      if (current && isSameStart(current.instance, start)) upstream.markLost();
    },
    isTrialNode: (fingerprint, call) => {
      const allowed = regionsOfAttempt(policy.current(), call);
      const nodes = membership
        .members(service)
        .filter((node) => node.state === 'ready' && (allowed?.has(node.region) ?? true));
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
  const servingStopBound = createStopBound(clock);
  const callServer = createCallServer({
    stopBound: servingStopBound,
    pacer,
    clock,
    admission,
    upstream,
    gate,
    poolOf,
    protocol,
    running: runningCalls,
    nestedShares: createNestedShares(clock),
    statedLimit,
    suspects,
    costs,
    recordSpeed: createSlowUpstreamLog(clock, logger),
    repeats: createRepeatLimit({
      ...options.retries,
      upstreamCount: memoizeByRevision(directory.revision, () => directory.members(service).length),
    }),
    logger,
  });
  const entryStopBound = createStopBound(clock);
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
    costs,
    host,
    callerService: service,
    links,
    refusesEarly: options.refusesEarly,
    uploadBytes: options.connectionLimits.uploadBytes,
    answerWindowBytes: options.connectionLimits.answerBytes,
    isStopping: () => isStopping,
    refusesCallers: () => refusesCallers,
    stopBound: entryStopBound,
    pacer,
  });

  const callers = createCallerListener(logger, entry.handle, {
    clock,
    limits: options.connectionLimits,
    count: (reason) => metrics.countLimitedConnection('callers', reason),
  });
  function applyPolicy(next: CallPolicy): void {
    routes = createRouteTable(next, random);
    priorityRanks = createPriorityRanks(next);
    ledger.applyPolicy();
    upstreamConnections = next.services.get(service)?.connections ?? upstreamConnections;
    coldLimit.configure(next.services.get(service));
    callers.apply(next.requestLimits);
    regionCheck.start(next);
    directory.announceOrders();
  }
  // A starting node that has found no orders need not announce that.
  evacuations.changes.pipe(skipWhile(({ size }) => size === 0)).subscribe(directory.announceOrders);

  const answerExchange = (fields: ExchangeFields): ExchangeFields => {
    const message = fromExchangeFields(fields);
    const answer = message ? directory.receive(message) : directory.currentMessage();
    if (!fields.wantsPolicy) return toExchangeFields(answer, undefined, false);
    // A node that has got the policy serves, so it needs the orders, also if there are none.
    const whole = { ...answer, evacuations: evacuations.statement() };
    return toExchangeFields(whole, policy.currentBytes(), false);
  };
  const peerListener = createPeerListener(
    {
      clock,
      logger,
      pacer,
      answerBytes: options.connectionLimits.answerBytes,
      self: { host, incarnation },
      onReceived: recordContact,
    },
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
    stopForgetting();
    peerListener.close();
    directory.close();
    policy.close();
    evacuations.close();
    statements.close();
    gate.close();
    unknownZones.close();
    upstream.close();
    coldLimit.close();
    coldProbe.close();
    suspects.close();
    regionCheck.close();
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
    [entryStopBound, servingStopBound].forEach((bound) => bound.start(deadline));
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
    whenDepartureSaved: async () => {
      if (await directory.whenDepartureSaved()) return;
      logger.log('departureNotSaved', { upstream: upstream.current()?.instance.id });
    },
    notReadyReason: () => {
      if (isStopping) return 'stopping';
      return policy.current() ? undefined : 'no policy in force';
    },
    start: async () => {
      addSidecarGauges(metrics, {
        load: admission.load,
        policy,
        evacuations,
        gate,
        unknownZones,
        eventLoopDelay: lag.delayMilliseconds,
        coldMilliseconds: coldLimit.leftMilliseconds,
        storeEra: store.era,
        livePeers: directory.livePeers,
        inProgress: entry.inProgress,
      });
      await Promise.all([peerListener.listen(listeners.peers), callers.listen(listeners.callers)]);
      directory.start();
      void awaitDepartures();
      coldProbe.start();
      logger.log('processStarted', { host, incarnation, region, zone, service });
    },
    stop,
  };
}
