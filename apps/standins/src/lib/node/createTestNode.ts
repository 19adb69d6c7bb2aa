import type { HttpLimits, HttpListener } from '@buckthornslip/calls';
import {
  createCallForwarder,
  createEntryServer,
  createOutgoingServer,
  createServingNode,
  createServingServer,
  createUpstreamState,
} from '@buckthornslip/calls';
import type { HostId, Incarnation } from '@buckthornslip/common';
import { createSystemClock, success } from '@buckthornslip/common';
import type { AccountLimiter } from '@buckthornslip/limits';
import type { EventLogger } from '@buckthornslip/telemetry';
import { createMetrics, createSilentLogger } from '@buckthornslip/telemetry';

import { createFakeAdmissionController } from './createFakeAdmissionController';
import { createFakeAttemptTable } from './createFakeAttemptTable';
import { createFakeContextSigner } from './createFakeContextSigner';
import { createFakeIdempotencyRegistryClient } from './createFakeIdempotencyRegistryClient';
import { createFakeMembership } from './createFakeMembership';
import { createFakeRetryPolicy } from './createFakeRetryPolicy';
import { createFakeRouter } from './createFakeRouter';
import { createFakeSuspectTable } from './createFakeSuspectTable';
import type { NodeStep } from './observeSteps';
import { observeSteps } from './observeSteps';
import type { SharedFleetState } from './SharedFleetState';
import type { TestNode } from './TestNode';

const LOOPBACK = { address: '127.0.0.1', port: 0 };

/**
 * Options of a test node.
 *
 * @public
 */
export interface TestNodeOptions {
  readonly host: string;
  readonly incarnation?: number;
  readonly fleet: SharedFleetState;
  readonly limits?: HttpLimits;
  readonly limiter?: AccountLimiter;
  readonly logger?: EventLogger;
  /** Called when a call reaches a step of this node, before the step runs. */
  readonly onStep?: (step: NodeStep, host: string) => void;
  /** Maps the address of the peer listener to the one that is announced, for example that of a proxy in front of it. */
  readonly peerAddress?: (actual: string) => Promise<string>;
}

function addressOf(listener: HttpListener): string {
  const { address, port } = listener.address();
  return `${address}:${port}`;
}

function createComponents({
  fleet,
  host,
  incarnation = 1,
  limits,
  limiter,
  logger,
  onStep,
}: TestNodeOptions) {
  const identity = { host: host as HostId, incarnation: incarnation as Incarnation };
  const metrics = createMetrics();
  const components = {
    clock: createSystemClock(),
    metrics,
    logger: logger ?? createSilentLogger(),
    limits,
    identity,
    configuration: fleet.configuration,
    membership: createFakeMembership(fleet, identity),
    admission: createFakeAdmissionController(),
    attempts: createFakeAttemptTable(),
    idempotency: createFakeIdempotencyRegistryClient(fleet),
    retryPolicy: createFakeRetryPolicy(),
    signer: createFakeContextSigner(),
    suspects: createFakeSuspectTable(),
    limiter: limiter ?? { spend: async () => success(undefined) },
  };
  const router = createFakeRouter(components.membership);
  const base = observeSteps({ ...components, router }, (step) => onStep?.(step, host));
  const upstream = createUpstreamState(base);
  const serving = createServingNode({ ...base, upstream });
  const forwarder = createCallForwarder({ ...base, serving });
  return { ...base, upstream, serving, forwarder };
}

/**
 * Starts a test node on loopback addresses.
 *
 * @param options - Options of the node.
 * @returns The running node.
 * @public
 */
export async function createTestNode(options: TestNodeOptions): Promise<TestNode> {
  const nodeComponents = createComponents(options);
  const { fleet, host } = options;
  const entry = createEntryServer(nodeComponents);
  const serving = createServingServer(nodeComponents);
  const outgoing = createOutgoingServer(nodeComponents);
  await Promise.all([entry, serving, outgoing].map((listener) => listener.listen(LOOPBACK)));
  const actual = addressOf(serving);
  const peerAddress = (await options.peerAddress?.(actual)) ?? actual;
  fleet.members.set(host, { ...nodeComponents.membership.self(), peerAddress });
  return {
    identity: nodeComponents.identity,
    metrics: nodeComponents.metrics,
    entry,
    serving,
    outgoing,
    callerAddress: () => addressOf(entry),
    peerAddress: () => actual,
    outgoingAddress: () => addressOf(outgoing),
    close: async () => {
      nodeComponents.forwarder.close();
      nodeComponents.upstream.close();
      await Promise.all([entry, serving, outgoing].map((listener) => listener.close()));
    },
  };
}
