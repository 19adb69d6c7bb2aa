import type { PartitionId } from '@buckthornslip/common';

import type { LeaseLocation } from '../manager/LeaseLocation';
import type { ExtensionAnswer } from './ExtensionAnswer';
import type { ExtensionRequest } from './ExtensionRequest';

/**
 * Answers to the messages of {@link LeasePeers}.
 *
 * @public
 */
export interface LeaseResponder {
  readonly answerExtension: (request: ExtensionRequest) => ExtensionAnswer;
  readonly answerLocate: (partition: PartitionId) => LeaseLocation | undefined;
  readonly refresh: (partition: PartitionId) => void;
}
