import { callEvents } from './callEvents';
import { configurationEvents } from './configurationEvents';
import { leaseEvents } from './leaseEvents';
import { limitEvents } from './limitEvents';
import { membershipEvents } from './membershipEvents';
import { platformEvents } from './platformEvents';
import { processEvents } from './processEvents';
import { sidecarEvents } from './sidecarEvents';

/**
 * All log events. `docs/events.md` is generated from this catalogue.
 *
 * @public
 */
export const eventCatalogue = {
  ...callEvents,
  ...membershipEvents,
  ...configurationEvents,
  ...leaseEvents,
  ...limitEvents,
  ...platformEvents,
  ...processEvents,
  ...sidecarEvents,
};
