import { readFile } from 'node:fs/promises';

import t from 'tap';
import { refusalCatalogue } from '@buckthornslip/common';

const PAGE = 'docs/OPERATIONS.md';

const SECTION_START = '## Refusal reasons';

function sectionOf(page: string): string {
  const start = page.indexOf(SECTION_START);
  if (start < 0) return '';
  const end = page.indexOf('\n## ', start + SECTION_START.length);
  return page.slice(start, end < 0 ? undefined : end);
}

/** @returns Reason and status of each table row in order. */
function rowsOf(section: string): readonly string[] {
  return [...section.matchAll(/^\| `([a-z-]+)` *\| (\d{3}) /gm)].map(
    ([, reason, status]) => `${reason} ${status}`,
  );
}

// Guards against adding, renaming or removing a refusal reason without updating the advice for operators.
void t.test('the operations page has one row for each refusal reason', async (test) => {
  const rows = rowsOf(sectionOf(await readFile(PAGE, 'utf8')));
  const expected = Object.entries(refusalCatalogue).map(
    ([reason, { status }]) => `${reason} ${status}`,
  );
  test.same([...rows].sort(), expected.sort(), `${PAGE}: ${SECTION_START}`);
});
