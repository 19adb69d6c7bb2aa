import type { Cell, InvariantNumber } from './Cell';
import { checkAnnounce } from './checkAnnounce';
import type { LeaseOperation } from './checkLease';
import { checkLease } from './checkLease';
import type { Fault } from './faults';
import { operationReasons } from './operationReasons';
import type { Operation } from './rows';
import { operations } from './rows';
import type { PublicationOperation } from './checkPublication';
import { checkPublication } from './checkPublication';

const publicationFaults: readonly Fault[] = [
  'store down',
  'store slow',
  'store response lost',
  'conflicting publications',
];
const leaseFaults: readonly Fault[] = [
  'store down',
  'store slow',
  'store response lost',
  'lease lapsed in a pause',
  'node crash',
  'region cut',
];

interface CheckedOperation {
  readonly faults: readonly Fault[];
  readonly invariants: readonly InvariantNumber[];
  readonly check: (fault: Fault) => Promise<void>;
}

function publication(operation: PublicationOperation): CheckedOperation {
  const invariants: readonly InvariantNumber[] = operation === 'withdraw' ? [5, 12] : [12];
  const check = (fault: Fault): Promise<void> => checkPublication(operation, fault);
  return { faults: publicationFaults, invariants, check };
}

function lease(operation: LeaseOperation): CheckedOperation {
  const check = (fault: Fault): Promise<void> => checkLease(operation, fault);
  return { faults: leaseFaults, invariants: [6, 9], check };
}

const checkedOperations: Partial<Record<Operation, CheckedOperation>> = {
  announce: {
    faults: ['store down', 'silent connection', 'node crash', 'drain', 'region cut'],
    invariants: [10],
    check: checkAnnounce,
  },
  publish: publication('publish'),
  grant: publication('grant'),
  withdraw: publication('withdraw'),
  'acquire lease': lease('acquire lease'),
  'renew lease': lease('renew lease'),
  'hand over': lease('hand over'),
};

function cellOf(operation: Operation, fault: Fault): Cell {
  const checked = checkedOperations[operation];
  if (checked?.faults.includes(fault)) {
    const { check, invariants } = checked;
    return { kind: 'checked', invariants, check: () => check(fault) };
  }
  const reason = operationReasons[operation]?.[fault];
  return reason === undefined
    ? { kind: 'open', missing: 'No check yet.' }
    : { kind: 'not-applicable', reason };
}

/**
 * @param fault - Column of the matrix.
 * @returns Cells of the column by operation.
 */
export function operationCells(fault: Fault): ReadonlyMap<string, Cell> {
  return new Map(operations.map((operation) => [operation, cellOf(operation, fault)]));
}
