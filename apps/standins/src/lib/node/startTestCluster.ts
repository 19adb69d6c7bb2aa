import type { Manifest } from '@buckthornslip/config';

import { createStubUpstream } from '../upstream/createStubUpstream';
import type { StubUpstream } from '../upstream/StubUpstream';
import type { UpstreamOptions } from '../upstream/UpstreamOptions';
import { createSharedFleetState } from './createSharedFleetState';
import { createTestManifest } from './createTestManifest';
import type { TestNodeOptions } from './createTestNode';
import { createTestNode } from './createTestNode';
import type { SharedFleetState } from './SharedFleetState';
import type { TestNode } from './TestNode';

/** Key of the account in the manifest of {@link createTestManifest}. */
const KEY = 'stand-in-key-3f9c0d5e7a21';

/**
 * Options of a test cluster.
 *
 * @public
 */
export interface TestClusterOptions {
  readonly manifest?: Manifest;
  /** Options of each node's upstream; undefined for an entry node without an upstream. */
  readonly upstreams: readonly (Partial<UpstreamOptions> | undefined)[];
  readonly node?: Omit<Partial<TestNodeOptions>, 'fleet'>;
}

/**
 * Test nodes and stub upstreams that run in one process.
 *
 * @public
 */
export interface TestCluster {
  readonly key: string;
  readonly fleet: SharedFleetState;
  readonly nodes: readonly TestNode[];
  /** Upstream of each node, in the order of the options. */
  readonly upstreams: readonly (StubUpstream | undefined)[];
  readonly close: () => Promise<void>;
}

async function startUpstream(
  node: TestNode,
  options: Partial<UpstreamOptions> | undefined,
): Promise<StubUpstream | undefined> {
  if (options === undefined) return undefined;
  const upstream = createStubUpstream({
    service: 'statements',
    node: node.outgoingAddress(),
    ...options,
  });
  await upstream.start();
  return upstream;
}

/**
 * Starts test nodes and their stub upstreams.
 *
 * @param options - Options of the cluster.
 * @returns The running cluster.
 * @public
 */
export async function startTestCluster(options: TestClusterOptions): Promise<TestCluster> {
  const fleet = createSharedFleetState(options.manifest ?? createTestManifest());
  fleet.grant(KEY, 'ciema-banka');
  const nodes: TestNode[] = [];
  const upstreams: (StubUpstream | undefined)[] = [];
  for (const [index, upstream] of options.upstreams.entries()) {
    const node = await createTestNode({ ...options.node, fleet, host: `host-${index}` });
    nodes.push(node);
    upstreams.push(await startUpstream(node, upstream));
  }
  return {
    key: KEY,
    fleet,
    nodes,
    upstreams,
    close: async () => {
      await Promise.all(nodes.map((node) => node.close()));
      for (const upstream of upstreams) upstream?.crash();
    },
  };
}
