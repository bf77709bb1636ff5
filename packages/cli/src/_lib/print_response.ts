import type {InstanceResponse} from './call_instance.js';
import {exitCodeOfResponse} from './exit_code_of_response.js';
import {formatTable} from './format_table.js';

type Rows = ReadonlyArray<Readonly<Record<string, unknown>>>;

/**
 * Prints a response and sets the exit code of the process.
 *
 * @param response - Response of an instance.
 * @param json - Whether to print the unchanged response body instead of a table.
 * @param toRows - Extracts the rows of the table from the parsed response body.
 */
export function printResponse(
  response: InstanceResponse,
  json: boolean,
  toRows: (document: Record<string, unknown>) => Rows,
): void {
  process.exitCode = exitCodeOfResponse(response);
  if (json) {
    process.stdout.write(
      response.text.endsWith('\n') ? response.text : `${response.text}\n`,
    );
    return;
  }
  if (process.exitCode !== 0) {
    process.stderr.write(formatError(response));
    return;
  }
  process.stdout.write(
    formatTable(toRows(JSON.parse(response.text) as Record<string, unknown>)),
  );
}

function formatError(response: InstanceResponse): string {
  const verdict = String(response.headers['papayarun-verdict'] ?? 'none');
  try {
    const {code, message, field} = JSON.parse(response.text) as Record<
      string,
      unknown
    >;
    const fieldSuffix = field === undefined ? '' : ` (${String(field)})`;
    return `${String(code)}${fieldSuffix}: ${String(message)}; verdict ${verdict}\n`;
  } catch {
    return `status ${response.status}, verdict ${verdict}: ${response.text}\n`;
  }
}
