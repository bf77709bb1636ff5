/**
 * Formats rows as a table with aligned columns.
 *
 * @param rows - Objects with the same keys.
 * @returns Lines; a note when there are no rows.
 */
export function formatTable(
  rows: ReadonlyArray<Readonly<Record<string, unknown>>>,
): string {
  const first = rows[0];
  if (!first) {
    return 'none\n';
  }
  const columns = Object.keys(first);
  const cells = [
    columns,
    ...rows.map(row => columns.map(column => textOf(row[column]))),
  ];
  const widths = columns.map((_column, i) =>
    Math.max(...cells.map(line => line[i]!.length)),
  );
  return cells
    .map(line =>
      line
        .map((cell, i) => cell.padEnd(widths[i]!))
        .join('  ')
        .trimEnd(),
    )
    .map(line => `${line}\n`)
    .join('');
}

function textOf(value: unknown): string {
  if (value === undefined || value === null) {
    return '-';
  }
  return typeof value === 'object' ? JSON.stringify(value) : String(value);
}
