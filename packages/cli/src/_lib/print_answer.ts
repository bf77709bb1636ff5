import type {InstanceAnswer} from './call_instance.js';
import {exitCodeOf} from './exit_code_of.js';
import {formatTable} from './format_table.js';

type Rows = ReadonlyArray<Readonly<Record<string, unknown>>>;

/**
 * Writes an answer and sets the exit code.
 *
 * @param answer - Answer of an instance.
 * @param json - Whether to write it as it came.
 * @param rowsOf - Takes the rows of the table out of the parsed answer.
 */
export function printAnswer(
  answer: InstanceAnswer,
  json: boolean,
  rowsOf: (document: Record<string, unknown>) => Rows,
): void {
  process.exitCode = exitCodeOf(answer);
  if (json) {
    process.stdout.write(
      answer.text.endsWith('\n') ? answer.text : `${answer.text}\n`,
    );
    return;
  }
  if (process.exitCode !== 0) {
    process.stderr.write(problemOf(answer));
    return;
  }
  process.stdout.write(
    formatTable(rowsOf(JSON.parse(answer.text) as Record<string, unknown>)),
  );
}

function problemOf(answer: InstanceAnswer): string {
  const verdict = String(answer.headers['papayarun-verdict'] ?? 'none');
  try {
    const {code, message, field} = JSON.parse(answer.text) as Record<
      string,
      unknown
    >;
    const where = field === undefined ? '' : ` (${String(field)})`;
    return `${String(code)}${where}: ${String(message)}; verdict ${verdict}\n`;
  } catch {
    return `status ${answer.status}, verdict ${verdict}: ${answer.text}\n`;
  }
}
