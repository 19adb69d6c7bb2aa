/**
 * @param header - Column names.
 * @param rows - Cells of each row.
 * @returns Lines with aligned columns.
 * @internal
 */
export function formatTable(
  header: readonly string[],
  rows: readonly (readonly string[])[],
): readonly string[] {
  const all = [header, ...rows];
  const widths = header.map((_, column) =>
    Math.max(...all.map((row) => (row[column] ?? '').length)),
  );
  return all.map((row) =>
    widths
      .map((width, column) => (row[column] ?? '').padEnd(width))
      .join('  ')
      .trimEnd(),
  );
}
