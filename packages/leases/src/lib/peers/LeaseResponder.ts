import type { PartitionId } from '@buckthornslip/common';

import type { LeaseLocation } from '../manager/LeaseLocation';
import type { ExtensionAnswer } from './ExtensionAnswer';
import type { ExtensionRequest } from './ExtensionRequest';

/**
 * Answers the requests that {@link LeasePeers} sends.
 *
 * @public
 */
export interface LeaseResponder {
  readonly answerExtension: (request: ExtensionRequest) => ExtensionAnswer;
  readonly answerLocate: (partition: PartitionId) => LeaseLocation | undefined;
  readonly refresh: (partition: PartitionId) => void;
}
