import type { Result } from '@buckthornslip/common';
import { parseManifest } from '@buckthornslip/config';
import type { PublicationResult } from '@buckthornslip/distribution';

import { exitCodes } from '../exitCodes';
import { listTargets } from '../nodes/listTargets';
import type { CommandOutcome } from '../output/CommandOutcome';
import { confirmRollout } from '../rollout/confirmRollout';
import type { Rollout } from '../rollout/Rollout';
import type { CommandContext } from './CommandContext';
import { refusalOutcome } from './refusalOutcome';

type Published = Extract<PublicationResult, { kind: 'published' }>;

function describeUnconfirmed(rollout: Rollout): readonly string[] {
  const { unconfirmedRegions: regions, unconfirmedNodes: nodes } = rollout;
  return [
    ...(regions.length > 0 ? [`not confirmed in these regions: ${regions.join(', ')}`] : []),
    ...(nodes.length > 0 ? [`not confirmed by these nodes: ${nodes.join(', ')}`] : []),
  ];
}

async function readRegions(context: CommandContext): Promise<Result<readonly string[], string>> {
  const published = await context.publisher.read();
  const text = published.ok ? published.value?.manifestText : undefined;
  const manifest = text === undefined ? undefined : parseManifest(text);
  return manifest?.ok === true
    ? { ok: true, value: [...manifest.value.regions.keys()] }
    : { ok: false, error: 'the regions cannot be read from the store' };
}

async function rollOut(context: CommandContext, result: Published): Promise<CommandOutcome> {
  const { environment, nodes, arguments: options } = context;
  const { revision, install, isUnchanged } = result;
  const { targets } = await listTargets(context.store, options.nodes);
  if (install !== undefined) {
    await Promise.all(targets.map(({ address }) => nodes.installRevision(address, install)));
  }
  const regions = await readRegions(context);
  const rollout = await confirmRollout(
    environment.clock,
    nodes,
    targets,
    revision,
    regions.ok ? regions.value : [],
    options.waitMilliseconds,
  );
  const unconfirmed = [...(regions.ok ? [] : [regions.error]), ...describeUnconfirmed(rollout)];
  const accepted = isUnchanged
    ? `nothing to change: revision ${revision} already contains it`
    : `revision ${revision} is accepted`;
  const confirmed = `in force on ${rollout.confirmedNodes} of ${rollout.askedNodes} nodes asked`;
  return {
    exitCode: unconfirmed.length === 0 ? exitCodes.ok : exitCodes.notConfirmed,
    lines: [accepted, confirmed, ...unconfirmed],
    json: { status: 'published', revision, isUnchanged, ...rollout },
  };
}

/**
 * Reports the result of a publication. If the store accepted the revision, sends it to all known nodes and waits
 * until it is in effect.
 *
 * @param context - Context of the command.
 * @param result - Result from the publisher.
 * @returns The outcome.
 * @internal
 */
export async function reportPublication(
  context: CommandContext,
  result: PublicationResult,
): Promise<CommandOutcome> {
  switch (result.kind) {
    case 'published':
      return rollOut(context, result);
    case 'conflict': {
      const { currentRevision } = result;
      const message = `conflict: the current revision is ${currentRevision}; nothing was changed`;
      const json = { status: 'conflict', currentRevision };
      return { exitCode: exitCodes.conflict, lines: [message], json };
    }
    case 'unknown': {
      const { revision, publicationId } = result;
      const message = `the store did not answer: revision ${revision} may have been accepted or may still be`;
      const json = { status: 'unknown', revision, publicationId };
      return { exitCode: exitCodes.unknown, lines: [message], json };
    }
    default:
      return refusalOutcome(result.refusal);
  }
}
