import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import { createServer } from 'node:http';

import { createAdmissionController } from '@buckthornslip/admission';
import type { AccountId, RegionId } from '@buckthornslip/common';
import { createAccountGate, createAccountLedger } from '@buckthornslip/limits';
import type { Member } from '@buckthornslip/membership';
import { createRouter } from '@buckthornslip/routing';

import type { DirectoryMessage } from '../directory/DirectoryMessage';
import { createMemberDirectory } from '../directory/createMemberDirectory';
import { parseDirectoryMessage } from '../directory/parseDirectoryMessage';
import { createEntry } from '../entry/createEntry';
import { createRetryAllowance } from '../entry/createRetryAllowance';
import { createAgentPool } from '../peers/createAgentPool';
import { handlePeerCall } from '../peers/handlePeerCall';
import { peerHeaderNames } from '../peers/peerHeaderNames';
import { peerPaths } from '../peers/peerPaths';
import { postToPeer } from '../peers/postToPeer';
import type { RouteTable } from '../policy/createRouteTable';
import { createRouteTable } from '../policy/createRouteTable';
import { createPolicyFollower } from '../policy/createPolicyFollower';
import { createLedgerLocator } from '../quota/createLedgerLocator';
import { createLedgerTransport } from '../quota/createLedgerTransport';
import { createServing } from '../serving/createServing';
import { createUpstreamRegistry } from '../serving/createUpstreamRegistry';
import type { UpstreamRegistry, UpstreamView } from '../serving/UpstreamRegistry';
import type { SidecarMetrics } from './createSidecarMetrics';
import { createSidecarMetrics } from './createSidecarMetrics';
import { drainServer } from './drainServer';
import type { SidecarOptions } from './SidecarOptions';

/**
 * A running sidecar.
 *
 * @public
 */
export interface Sidecar {
  readonly start: () => Promise<void>;
  /** Stops gracefully: no request in progress is cut off. */
  readonly stop: () => Promise<void>;
  /** @returns Undefined if callers may be sent here, otherwise why not. */
  readonly notReadyReason: () => string | undefined;
  readonly upstream: UpstreamRegistry;
  readonly metrics: SidecarMetrics;
}

/** Limits of connections to one other node. */
const PEER_CONNECTIONS = {
  maximumConnections: 512,
  // Well below the time for which the listener of the other node keeps an idle connection.
  idleMilliseconds: 30_000,
  // A round trip between regions takes 60 ms; one lost packet is sent again after a second.
  connectMilliseconds: 400,
} as const;

/** Limits of connections to the own upstream, which is on the same host. */
const UPSTREAM_CONNECTIONS = { idleMilliseconds: 8_000, connectMilliseconds: 400 } as const;

/** Connections to an upstream before the policy names a number. */
const DEFAULT_UPSTREAM_CONNECTIONS = 256;

/** Idle time after which the listener for peers closes a connection, in milliseconds. */
const PEER_IDLE_MILLISECONDS = 120_000;

/** Idle time of callers before the policy names one, in milliseconds. */
const DEFAULT_CALLER_IDLE_MILLISECONDS = 15_000;

/** Callers may use a connection until just before the idle time; it is closed later than that, in milliseconds. */
const CALLER_IDLE_MARGIN_MILLISECONDS = 2_000;

/** Longest wait of a call in the queue of its upstream, in milliseconds. */
const QUEUE_TARGET_MILLISECONDS = 400;

/** Part of the link to another region that one node may use for calls, in bytes a second. */
const LINK_BYTES_PER_SECOND = 400_000;
const LINK_BURST_SECONDS = 10;
const LARGE_BODY_BYTES = 262_144;

const ledgerCandidate = ({ alive, state }: Member): boolean => alive && state !== 'left';

/** Order in which all nodes list the candidates, so that equal views are equal texts. */
const byHost = (left: Member, right: Member): number => (left.host < right.host ? -1 : 1);

function splitAddress(address: string): { readonly host: string; readonly port: number } {
  const separator = address.lastIndexOf(':');
  return { host: address.slice(0, separator), port: Number(address.slice(separator + 1)) };
}

function listen(server: Server, address: string): Promise<void> {
  const { host, port } = splitAddress(address);
  return new Promise((resolve, reject) => {
    server.once('error', reject);
    server.listen({ host, port, backlog: 1_024 }, () => {
      server.off('error', reject);
      resolve();
    });
  });
}

async function readText(request: IncomingMessage): Promise<string> {
  const chunks: Buffer[] = [];
  for await (const chunk of request) chunks.push(chunk as Buffer);
  return Buffer.concat(chunks).toString('utf8');
}

/**
 * Builds a sidecar: the node beside one upstream on a platform whose store keeps the policy and the list of nodes.
 *
 * @param options - Identity, addresses and what the operating system offers.
 * @returns The sidecar, not yet started.
 * @public
 */
export function createSidecar(options: SidecarOptions): Sidecar {
  const { clock, host, listeners, logger, protocol, random, region, service, store, zone } =
    options;
  const metrics = createSidecarMetrics();
  const admission = createAdmissionController({ clock });
  const peerAgents = createAgentPool(() => PEER_CONNECTIONS);
  let isStopping = false;
  let routes: RouteTable | undefined;
  let upstreamConnections = DEFAULT_UPSTREAM_CONNECTIONS;
  const upstreamAgents = createAgentPool(() => ({
    ...UPSTREAM_CONNECTIONS,
    maximumConnections: upstreamConnections,
  }));

  const serverOptions = { noDelay: true, requestTimeout: 0 } as const;
  const callerServer = createServer({
    ...serverOptions,
    keepAliveTimeout: DEFAULT_CALLER_IDLE_MILLISECONDS,
  });
  const peerServer = createServer({ ...serverOptions, keepAliveTimeout: PEER_IDLE_MILLISECONDS });

  const policy = createPolicyFollower({
    clock,
    store,
    logger,
    key: options.policyKey,
    decode: options.decodePolicy,
    onChange: (next) => {
      routes = createRouteTable(next, random);
      upstreamConnections = next.services.get(service)?.connections ?? upstreamConnections;
      callerServer.keepAliveTimeout =
        next.requestLimits.idleMilliseconds + CALLER_IDLE_MARGIN_MILLISECONDS;
    },
  });
  const policyRevision = (): number => policy.current()?.revision ?? 0;

  const exchangeDirectory = async (
    address: string,
    message: DirectoryMessage,
  ): Promise<DirectoryMessage | undefined> => {
    const body = JSON.stringify(message);
    const answer = await postToPeer(clock, peerAgents.get(address), peerPaths.directory, body);
    return answer && parseDirectoryMessage(answer.toString('utf8'));
  };

  const fetchPolicy = async (address: string, revision: number): Promise<void> => {
    const bytes = await postToPeer(clock, peerAgents.get(address), peerPaths.policy, '{}');
    if (bytes) policy.offer(bytes, `${address} revision ${revision}`);
  };

  const directory = createMemberDirectory({
    self: {
      host,
      incarnation: options.incarnation,
      version: 1,
      service: undefined,
      region,
      zone,
      peerAddress: listeners.peers,
      controlAddress: listeners.control,
      slots: 0,
      connections: 0,
      state: 'starting',
      alive: true,
    },
    clock,
    random,
    store,
    logger,
    policyRevision,
    peers: { exchange: exchangeDirectory },
    onNewerPolicy: (address, revision) => {
      void fetchPolicy(address, revision);
    },
  });

  const onUpstreamChange = ({ instance, state }: UpstreamView): void => {
    const { coldStartMilliseconds, service: announced, slots } = instance;
    const memberState = state === 'lost' ? 'starting' : state;
    admission.setCapacity({
      state: memberState,
      slots,
      coldStartMilliseconds,
      queueTargetMilliseconds: QUEUE_TARGET_MILLISECONDS,
    });
    directory.update({ service: announced, slots, state: isStopping ? 'draining' : memberState });
  };
  const upstream = createUpstreamRegistry({
    clock,
    logger,
    announcementMilliseconds: options.announcementMilliseconds,
    onChange: onUpstreamChange,
  });

  const allowanceOf = (account: AccountId) => policy.current()?.accounts.get(account);
  const ledger = createAccountLedger(clock, {
    allowanceOf,
    isFirstStart: options.isFirstStart,
  });
  const ledgerCandidates = (): Member[] =>
    [...directory.livePeers(), directory.self()].filter(ledgerCandidate).sort(byHost);
  const control = splitAddress(listeners.control);
  const ledgers = createLedgerTransport({
    clock,
    logger,
    address: control.host,
    port: control.port,
    host,
    ledger,
    locator: createLedgerLocator(ledgerCandidates),
    suspect: directory.suspect,
  });
  const gate = createAccountGate({
    clock,
    ledgers,
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
    linkBudget: (_region: RegionId) => ({
      bytesPerSecond: LINK_BYTES_PER_SECOND,
      burstBytes: LINK_BYTES_PER_SECOND * LINK_BURST_SECONDS,
      largeBodyBytes: LARGE_BODY_BYTES,
    }),
  });
  const serving = createServing({
    clock,
    admission,
    upstream,
    connect: upstreamAgents.get,
    protocol,
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
    gate,
    router,
    retries: createRetryAllowance(() => options.retries),
    serving,
    host,
    callerService: service,
    connect: peerAgents.get,
    isStopping: () => isStopping,
  });

  const answerDirectory = async (
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> => {
    const message = parseDirectoryMessage(await readText(request));
    if (!message) {
      logger.log('directoryMessageRejected', { address: request.socket.remoteAddress });
      response.writeHead(400);
      response.end();
      return;
    }
    response.writeHead(200, { 'Content-Type': 'application/json' });
    response.end(JSON.stringify(directory.receive(message)));
  };
  const answerPolicy = async (
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> => {
    await readText(request);
    const bytes = policy.currentBytes();
    response.writeHead(bytes ? 200 : 404);
    response.end(bytes);
  };
  const peerHandlers: Readonly<
    Record<string, (request: IncomingMessage, response: ServerResponse) => Promise<void>>
  > = {
    [peerPaths.directory]: answerDirectory,
    [peerPaths.policy]: answerPolicy,
  };

  const guard = (response: ServerResponse, handled: Promise<void>): void => {
    handled.catch((error: unknown) => {
      logger.log('callFailed', { error: error instanceof Error ? error.stack : String(error) });
      response.destroy();
    });
  };
  const onPeerRequest = (request: IncomingMessage, response: ServerResponse): void => {
    if (request.headers[peerHeaderNames.call] !== undefined) {
      guard(response, handlePeerCall(clock, serving, request, response));
      return;
    }
    const handler = peerHandlers[request.url ?? ''];
    if (handler) guard(response, handler(request, response));
    else {
      response.writeHead(404);
      response.end();
    }
  };
  peerServer.on('request', onPeerRequest);
  callerServer.on('request', (request, response) => {
    guard(response, entry.handle(request, response));
  });

  const addGauges = (): void => {
    metrics.addGauge(
      'buckthornslip_running',
      'Calls running at the upstream',
      () => admission.load().running,
    );
    metrics.addGauge(
      'buckthornslip_queued',
      'Calls waiting for the upstream',
      () => admission.load().queued,
    );
    metrics.addGauge(
      'buckthornslip_limit',
      'Calls that may run at once',
      () => admission.load().limit,
    );
    metrics.addGauge(
      'buckthornslip_policy_revision',
      'Revision of the policy in force',
      policyRevision,
    );
    metrics.addGauge(
      'buckthornslip_members',
      'Other nodes that are reachable',
      () => directory.livePeers().length,
    );
    metrics.addGauge(
      'buckthornslip_calls_in_progress',
      'Requests without a complete answer',
      entry.inProgress,
    );
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
      await Promise.all([
        listen(peerServer, listeners.peers),
        listen(callerServer, listeners.callers),
        ledgers.listen(),
      ]);
      policy.start();
      directory.start();
      logger.log('processStarted', {
        host,
        incarnation: options.incarnation,
        region,
        zone,
        service,
      });
    },
    stop: async () => {
      isStopping = true;
      logger.log('processStopping', { host, inProgress: entry.inProgress() });
      directory.update({ state: 'draining' });
      const deadline = clock.monotonicMilliseconds() + options.stopMilliseconds;
      await drainServer({ clock, server: callerServer, inProgress: entry.inProgress, deadline });
      await directory.leave();
      await drainServer({
        clock,
        server: peerServer,
        inProgress: () => admission.load().running,
        deadline,
      });
      directory.close();
      policy.close();
      upstream.close();
      ledgers.close();
      router.close();
      peerAgents.close();
      upstreamAgents.close();
      logger.log('processStopped', { host, inProgress: entry.inProgress() });
    },
  };
}
