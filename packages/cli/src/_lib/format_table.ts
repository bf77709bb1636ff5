/**
 * Formats rows as a table with aligned columns.
 *
 * @param rows - Objects that all have the same keys.
 * @returns Lines with a header line first, or the line `none` when there are no
 *   rows.
 */
export function formatTable(
  rows: ReadonlyArray<Readonly<Record<string, unknown>>>,
): string {
  const firstRow = rows[0];
  if (!firstRow) {
    return 'none\n';
  }
  const columns = Object.keys(firstRow);
  const cells = [
    columns,
    ...rows.map(row => columns.map(column => formatCell(row[column]))),
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

function formatCell(value: unknown): string {
  if (value === undefined || value === null) {
    return '-';
  }
  return typeof value === 'object' ? JSON.stringify(value) : String(value);
}
