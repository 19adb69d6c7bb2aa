import type { AdmissionController } from '@buckthornslip/admission';
import type { ConfigurationView } from '@buckthornslip/distribution';

import type { AttemptTable } from '../attempts/AttemptTable';
import type { ContextSigner } from '../context/ContextSigner';
import type { CallPathDependencies } from '../http/CallPathDependencies';
import type { SuspectTable } from '../suspects/SuspectTable';
import type { UpstreamState } from './UpstreamState';

/**
 * Dependencies of the serving side.
 *
 * @public
 */
export interface ServingDependencies extends CallPathDependencies {
  readonly admission: AdmissionController;
  readonly attempts: AttemptTable;
  readonly configuration: ConfigurationView;
  readonly signer: ContextSigner;
  readonly suspects: SuspectTable;
  readonly upstream: UpstreamState;
}
