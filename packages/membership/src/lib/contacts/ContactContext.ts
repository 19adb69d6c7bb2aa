import type { NodeContext } from '../node/NodeContext';
import type { ContactDirectory } from './ContactDirectory';
import type { ContactStore } from './ContactStore';
import type { RegistrationInfo } from './RegistrationInfo';
import type { RegistrationTable } from './RegistrationTable';

/**
 * Dependencies that the components of the zone contacts share.
 *
 * @internal
 */
export interface ContactContext extends NodeContext {
  readonly directory: ContactDirectory;
  readonly registrations: RegistrationTable;
  readonly store: ContactStore | undefined;
  /** Control addresses of other nodes, from the settings. */
  readonly seeds: readonly string[];
  readonly registrationInfo: () => RegistrationInfo | undefined;
  readonly onRegistrationInfo: (info: RegistrationInfo) => void;
}
