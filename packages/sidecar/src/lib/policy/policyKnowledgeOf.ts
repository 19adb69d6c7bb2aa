import type { DirectoryMessage } from '../directory/DirectoryMessage';
import type { PolicyKnowledge } from './PolicyKnowledge';

/**
 * @param answer - Answer of another node.
 * @param roundTripMilliseconds - Time since the request was sent. The other node may have stated its age at any time since.
 * @returns What the other node knows of the policy.
 * @internal
 */
export function policyKnowledgeOf(
  answer: Pick<DirectoryMessage, 'policyRevision' | 'policyAgeMilliseconds'>,
  roundTripMilliseconds: number,
): PolicyKnowledge {
  return {
    revision: answer.policyRevision,
    ageMilliseconds: answer.policyAgeMilliseconds + roundTripMilliseconds,
  };
}
