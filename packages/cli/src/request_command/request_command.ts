import {defineCommand} from 'citty';
import {baseUrl} from '../_lib/base_url.js';
import {callInstance} from '../_lib/call_instance.js';
import {callerArgs} from '../_lib/common_args.js';
import {exitCodeOf} from '../_lib/exit_code_of.js';
import {newKey} from '../_lib/new_key.js';
import {readInput} from '../_lib/read_input.js';

/**
 * `papayarun request SERVICE PATH`
 */
export const requestCommand = defineCommand({
  meta: {
    name: 'request',
    description: 'Send one request and write its answer.',
  },
  args: {
    ...callerArgs,
    service: {type: 'positional', description: 'Service.', required: true},
    path: {type: 'positional', description: 'Path at the target.', default: ''},
    body: {type: 'string', description: 'File with the body, or -.'},
    repeatable: {
      type: 'boolean',
      description: 'Whether it may be run more than once.',
      default: false,
    },
    id: {
      type: 'string',
      description: 'Idempotency key; made anew when absent.',
    },
    kind: {type: 'string', description: 'Kind of work.'},
    caller: {type: 'string', description: 'Name of the caller.'},
    team: {type: 'string', description: 'Team.'},
    urgency: {type: 'string', description: '0 (least urgent) to 3.'},
    'deadline-ms': {
      type: 'string',
      description: 'Time until nobody waits for the answer.',
    },
  },
  run: async ({args}) => {
    const base = baseUrl(args.url, 'PAPAYARUN_CALLERS_URL');
    const id = args.repeatable ? undefined : (args.id ?? (await newKey(base)));
    const headers = headersOf({
      'papayarun-repeatable': args.repeatable ? 'true' : undefined,
      'papayarun-id': id,
      'papayarun-kind': args.kind,
      'papayarun-caller': args.caller,
      'papayarun-team': args.team,
      'papayarun-urgency': args.urgency,
      'papayarun-deadline-ms': args['deadline-ms'],
    });
    const body = args.body === undefined ? '' : await readInput(args.body);
    const path = `/v1/services/${encodeURIComponent(args.service)}/${args.path.replace(/^\//, '')}`;
    const answer = await callInstance(
      new URL(path, base),
      'POST',
      headers,
      Buffer.from(body),
    );
    process.exitCode = exitCodeOf(answer);
    const {status, text} = answer;
    const verdict = answer.headers['papayarun-verdict'];
    const release = answer.headers['papayarun-release'];
    if (args.json) {
      process.stdout.write(
        `${JSON.stringify({id, status, verdict, release, body: text})}\n`,
      );
      return;
    }
    process.stderr.write(
      `status ${status}, verdict ${String(verdict)}, release ${String(release)}, id ${id ?? 'none'}\n`,
    );
    process.stdout.write(text.endsWith('\n') ? text : `${text}\n`);
  },
});

function headersOf(
  values: Readonly<Record<string, string | undefined>>,
): Record<string, string> {
  const given = Object.entries(values).filter(
    ([, value]) => value !== undefined,
  );
  return Object.fromEntries(given) as Record<string, string>;
}
