/** Columns of the matrix: the faults in docs/design.md, section 1.4. */
export const faults = [
  'slow service with surge',
  'key withdrawn',
  'store down',
  'store slow',
  'store response lost',
  'lease lapsed in a pause',
  'conflicting publications',
  'crashing request sent again',
  'silent connection',
  'node crash',
  'upstream crash',
  'drain',
  'region cut',
  'misleading health',
] as const;

/** A column of the matrix. */
export type Fault = (typeof faults)[number];
