import type { Cell, InvariantNumber } from './Cell';
import { checkCall } from './checkCall';
import type { Fault } from './faults';
import type { CallStep } from './rows';
import { callSteps } from './rows';

/** Invariants that each fault can violate during a call; faults that are not listed are not checked. */
const checkedFaults: Partial<Record<Fault, readonly InvariantNumber[]>> = {
  'slow service with surge': [1, 4, 7, 8, 9],
  'key withdrawn': [3, 4, 5, 7, 8, 9],
  'lease lapsed in a pause': [4, 6, 7, 8, 9],
  'crashing request sent again': [1, 4, 7, 8, 9],
  'silent connection': [1, 4, 7, 8, 9],
  'node crash': [1, 4, 7, 8, 9],
  'upstream crash': [1, 4, 7, 8, 9],
  drain: [1, 4, 7, 8, 9, 10, 11],
  'region cut': [1, 4, 5, 7, 8, 9],
  'misleading health': [4, 7, 8, 9],
};

/** Reasons why a fault cannot affect any step of a call. */
const reasons: Partial<Record<Fault, string>> = {
  'store down': 'No step of a call calls the store; the rows of the operations have this fault.',
  'store slow': 'No step of a call calls the store; the rows of the operations have this fault.',
  'store response lost': 'No step of a call writes to the store.',
  'conflicting publications':
    'A call reads one revision in force; of conflicting publications, only the accepted one has a revision.',
};

const open: Cell = { kind: 'open', missing: 'No check yet.' };

function cellOf(step: CallStep, fault: Fault): Cell {
  const invariants = checkedFaults[fault];
  if (invariants !== undefined) {
    return { kind: 'checked', invariants, check: () => checkCall(step, fault) };
  }
  const reason = reasons[fault];
  return reason === undefined ? open : { kind: 'not-applicable', reason };
}

/**
 * @param fault - Column of the matrix.
 * @returns Cells of the column by step of a call.
 */
export function callCells(fault: Fault): ReadonlyMap<string, Cell> {
  return new Map(callSteps.map((step) => [step, cellOf(step, fault)]));
}
