import {defineCommand} from 'citty';
import {resolveBaseUrl} from '../_lib/resolve_base_url.js';
import {callInstance} from '../_lib/call_instance.js';
import {callerArgs} from '../_lib/common_args.js';
import {exitCodeOfResponse} from '../_lib/exit_code_of_response.js';
import {createIdempotencyKey} from '../_lib/create_idempotency_key.js';
import {readInput} from '../_lib/read_input.js';

/**
 * Command `papayarun request SERVICE PATH`.
 */
export const requestCommand = defineCommand({
  meta: {
    name: 'request',
    description: 'Send one request and print its response.',
  },
  args: {
    ...callerArgs,
    service: {
      type: 'positional',
      description: 'Name of the service.',
      required: true,
    },
    path: {
      type: 'positional',
      description: 'URL path at the target.',
      default: '',
    },
    body: {
      type: 'string',
      description: 'File with the body, or - for standard input.',
    },
    repeatable: {
      type: 'boolean',
      description: 'Whether the request may be run more than once.',
      default: false,
    },
    id: {
      type: 'string',
      description: 'Idempotency key; a new one is created when absent.',
    },
    kind: {type: 'string', description: 'Kind of work.'},
    caller: {type: 'string', description: 'Name of the caller.'},
    team: {type: 'string', description: 'Name of the team.'},
    urgency: {type: 'string', description: 'Urgency from 0 (lowest) to 3.'},
    'deadline-ms': {
      type: 'string',
      description:
        'Time after which the caller no longer waits for the response, in ms.',
    },
  },
  run: async ({args}) => {
    const baseUrl = resolveBaseUrl(args.url, 'PAPAYARUN_CALLERS_URL');
    const id = args.repeatable
      ? undefined
      : (args.id ?? (await createIdempotencyKey(baseUrl)));
    const headers = omitUndefinedHeaders({
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
    const response = await callInstance(
      new URL(path, baseUrl),
      'POST',
      headers,
      Buffer.from(body),
    );
    process.exitCode = exitCodeOfResponse(response);
    const {status, text} = response;
    const verdict = response.headers['papayarun-verdict'];
    const release = response.headers['papayarun-release'];
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

function omitUndefinedHeaders(
  values: Readonly<Record<string, string | undefined>>,
): Record<string, string> {
  const defined = Object.entries(values).filter(
    ([, value]) => value !== undefined,
  );
  return Object.fromEntries(defined) as Record<string, string>;
}
