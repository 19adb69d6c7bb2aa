import { renderFaultMatrix } from '../faultMatrix/renderFaultMatrix';
import { renderEvents } from './renderEvents';
import { renderRefusals } from './renderRefusals';

/** Renderers of the pages that are generated from the code, by path. */
export const generatedPages: Readonly<Record<string, () => string>> = {
  'docs/events.md': renderEvents,
  'docs/fault-matrix.md': renderFaultMatrix,
  'docs/refusals.md': renderRefusals,
};
