/**
 * Prints the results of a benchmark as a table and as one line of JSON.
 *
 * @param report - Name and seed of the benchmark, and one row per run.
 */
export function printReport(report: {
  readonly name: string;
  readonly seed: number;
  readonly rows: readonly Readonly<Record<string, unknown>>[];
}): void {
  console.log(`${report.name}, seed ${report.seed}`);
  // Formats a nested object as JSON, so that it fits into one table cell.
  const cells = report.rows.map((row) =>
    Object.fromEntries(
      Object.entries(row).map(([name, value]) => [
        name,
        typeof value === 'object' ? JSON.stringify(value) : value,
      ]),
    ),
  );
  console.table(cells);
  console.log(JSON.stringify(report));
}
