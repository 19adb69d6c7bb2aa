import { loadHeader } from '@buckthornslip/calls';

import type { ServedAnswer } from '../serving/ServedAnswer';
import { peerHeaderNames } from './peerHeaderNames';
import { ANSWERED, encodeRefusal } from './peerResultCodec';

/**
 * @param served - Result of an attempt at this node.
 * @returns Headers between nodes that describe it, names and values in turn.
 * @internal
 */
export function peerAnswerHeaders({ answer, load }: ServedAnswer): string[] {
  const result = answer.kind === 'answer' ? ANSWERED : encodeRefusal(answer);
  const headers = [peerHeaderNames.result, result];
  if (load) headers.push(peerHeaderNames.load, loadHeader(load));
  return headers;
}
