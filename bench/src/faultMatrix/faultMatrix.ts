import { callCells } from './callCells';
import type { Cell } from './Cell';
import type { Fault } from './faults';
import { faults } from './faults';
import { operationCells } from './operationCells';

/** Cells of the matrix by fault, then by step or operation. */
export const faultMatrix: ReadonlyMap<Fault, ReadonlyMap<string, Cell>> = new Map(
  faults.map((fault) => [fault, new Map([...callCells(fault), ...operationCells(fault)])]),
);
