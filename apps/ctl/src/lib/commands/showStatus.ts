import type { ReadStatusResponse } from '@buckthornslip/wire';

import { exitCodes } from '../exitCodes';
import { listTargets } from '../nodes/listTargets';
import type { CommandOutcome } from '../output/CommandOutcome';
import { formatTable } from '../output/formatTable';
import type { CommandContext } from './CommandContext';

const HEADER = [
  'HOST',
  'REGION',
  'ZONE',
  'SERVICE',
  'STATE',
  'REVISION',
  'FRESHNESS',
  'PARTITIONS',
];

function formatRow(status: ReadStatusResponse): readonly string[] {
  const { freshnessMilliseconds: freshness } = status;
  return [
    status.host,
    status.region,
    status.zone,
    status.service,
    status.state,
    String(status.revision),
    freshness < 0 ? 'unknown' : `${freshness} ms`,
    status.partitions.join(' '),
  ];
}

/**
 * `status`: shows the status of the zone contacts and of the given nodes.
 *
 * @param context - Context of the command.
 * @returns The outcome; its exit code is `unknown` if the store or a node does not respond.
 * @internal
 */
export async function showStatus(context: CommandContext): Promise<CommandOutcome> {
  const { arguments: options, store, nodes: clients } = context;
  if (store === undefined && options.nodes.length === 0) {
    const message = '--store or --nodes is required';
    const json = { status: 'invalid', message };
    return { exitCode: exitCodes.invalid, lines: [message], json };
  }
  const { targets, isStoreAnswering } = await listTargets(store, options.nodes);
  const responses = await Promise.all(
    targets.map(async ({ address }) => ({ address, status: await clients.readStatus(address) })),
  );
  const nodes = responses.flatMap(({ address, status }) =>
    status.ok ? [{ ...status.value, address }] : [],
  );
  const silentNodes = responses.filter(({ status }) => !status.ok).map(({ address }) => address);
  const problems = [
    ...(isStoreAnswering ? [] : ['the store does not answer']),
    ...silentNodes.map((address) => `node ${address} does not answer`),
  ];
  return {
    exitCode: problems.length === 0 ? exitCodes.ok : exitCodes.unknown,
    lines: [...formatTable(HEADER, nodes.map(formatRow)), ...problems],
    json: { nodes, silentNodes, isStoreAnswering },
  };
}
