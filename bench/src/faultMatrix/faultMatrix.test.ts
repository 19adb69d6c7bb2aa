import { isKnownRed } from '@buckthornslip/app-standins';
import t from 'tap';

import type { Cell } from './Cell';
import { faultMatrix } from './faultMatrix';
import { faults } from './faults';
import { callSteps, operations } from './rows';

/**
 * Cells that run concurrently. More of them delay the sockets so much that time-to-first-byte limits fire by accident.
 */
const CONCURRENT_CELLS = 4;

interface NamedCell {
  readonly name: string;
  readonly cell: Cell;
}

const cells: readonly NamedCell[] = [...faultMatrix].flatMap(([fault, column]) =>
  [...column].map(([row, cell]) => ({ name: `${fault} at ${row}`, cell })),
);

// Guards against adding a step or fault without either a check, a reason or an open cell for each combination.
void t.test('the matrix has a cell for each fault at each step and operation', async (test) => {
  const rows = [...callSteps, ...operations];
  test.equal(faultMatrix.size, faults.length);
  for (const [fault, column] of faultMatrix) test.same([...column.keys()], rows, fault);
  for (const { cell, name } of cells) {
    if (cell.kind === 'not-applicable') test.match(cell.reason, /\w.*\.$/, name);
    if (cell.kind === 'checked') test.ok(cell.invariants.length > 0, name);
  }
});

// Guards against violations of the invariants under a single fault. Messages of the checks start with the number of the
// invariant.
void t.test('the invariants hold under each fault at each step', async (test) => {
  const remaining = cells.filter(({ name }) => name.includes(process.env.FAULT_CELL ?? ''));
  const runNext = async (): Promise<void> => {
    const next = remaining.shift();
    if (next === undefined) return;
    if (next.cell.kind === 'checked') {
      const { check } = next.cell;
      const startedAt = performance.now();
      const error = await check().then(
        () => undefined,
        (thrown: unknown) => thrown,
      );
      const milliseconds = Math.round(performance.now() - startedAt);
      test.equal(error instanceof Error ? error.message : error, undefined, next.name, {
        todo: isKnownRed(next.name) && 'listed in KNOWN-RED.txt',
      });
      if (milliseconds > 5_000) test.comment(`${next.name} took ${milliseconds} ms`);
    }
    await runNext();
  };
  await Promise.all(Array.from({ length: CONCURRENT_CELLS }, runNext));
});
