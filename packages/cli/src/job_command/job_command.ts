import {defineCommand} from 'citty';
import {resolveBaseUrl} from '../_lib/resolve_base_url.js';
import type {InstanceResponse} from '../_lib/call_instance.js';
import {callInstance} from '../_lib/call_instance.js';
import {callerArgs} from '../_lib/common_args.js';
import {createIdempotencyKey} from '../_lib/create_idempotency_key.js';
import {printResponse} from '../_lib/print_response.js';
import {readInput} from '../_lib/read_input.js';
import {UsageError} from '../_lib/usage_error.js';

const URL_VARIABLE = 'PAPAYARUN_CALLERS_URL';

type Row = Readonly<Record<string, unknown>>;

const waitArg = {
  'wait-ms': {
    type: 'string',
    description: 'Maximum time to wait for the job to end, in ms.',
    default: '0',
  },
} as const;

const idArg = {
  id: {type: 'positional', description: 'ID of the job.', required: true},
} as const;

const submit = defineCommand({
  meta: {
    name: 'submit',
    description: 'Submit a job; can be retried safely with the same id.',
  },
  args: {
    ...callerArgs,
    ...waitArg,
    file: {
      type: 'positional',
      description: 'JSON file with the job, or - for standard input.',
      required: true,
    },
  },
  run: async ({args}) => {
    const baseUrl = resolveBaseUrl(args.url, URL_VARIABLE);
    const spec = parseJob(await readInput(args.file), args.file);
    const body = JSON.stringify({
      ...spec,
      id: spec['id'] ?? (await createIdempotencyKey(baseUrl)),
    });
    const url = new URL(`/v1/jobs?wait-ms=${args['wait-ms']}`, baseUrl);
    printJobResponse(
      await callInstance(url, 'POST', {}, Buffer.from(body)),
      args.json,
    );
  },
});

const show = defineCommand({
  meta: {
    name: 'show',
    description: 'Show a job and, once it is complete, its answers.',
  },
  args: {...callerArgs, ...waitArg, ...idArg},
  run: async ({args}) => {
    const path = `/v1/jobs/${encodeURIComponent(args.id)}?wait-ms=${args['wait-ms']}`;
    printJobResponse(
      await callInstance(
        new URL(path, resolveBaseUrl(args.url, URL_VARIABLE)),
        'GET',
        {},
      ),
      args.json,
    );
  },
});

const cancel = defineCommand({
  meta: {
    name: 'cancel',
    description: 'Cancel a job and stop its running tasks.',
  },
  args: {...callerArgs, ...idArg},
  run: async ({args}) => {
    const path = `/v1/jobs/${encodeURIComponent(args.id)}`;
    printJobResponse(
      await callInstance(
        new URL(path, resolveBaseUrl(args.url, URL_VARIABLE)),
        'DELETE',
        {},
      ),
      args.json,
    );
  },
});

/**
 * Commands `papayarun job submit|show|cancel`.
 */
export const jobCommand = defineCommand({
  meta: {name: 'job', description: 'Submit, show and cancel jobs.'},
  subCommands: {submit, show, cancel},
});

function parseJob(text: string, file: string): Record<string, unknown> {
  try {
    return JSON.parse(text) as Record<string, unknown>;
  } catch (err) {
    throw UsageError.create(`${file}: ${(err as Error).message}`);
  }
}

function printJobResponse(response: InstanceResponse, json: boolean): void {
  printResponse(response, json, toJobRows);
}

function toJobRows(document: Row): Row[] {
  const answers = document['answers'] as unknown[] | undefined;
  return answers ? answers.map((answer, task) => ({task, answer})) : [document];
}
