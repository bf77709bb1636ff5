import {defineCommand} from 'citty';
import {baseUrl} from '../_lib/base_url.js';
import type {InstanceAnswer} from '../_lib/call_instance.js';
import {callInstance} from '../_lib/call_instance.js';
import {callerArgs} from '../_lib/common_args.js';
import {newKey} from '../_lib/new_key.js';
import {printAnswer} from '../_lib/print_answer.js';
import {readInput} from '../_lib/read_input.js';
import {UsageError} from '../_lib/usage_error.js';

const VARIABLE = 'PAPAYARUN_CALLERS_URL';

type Row = Readonly<Record<string, unknown>>;

const waitArg = {
  'wait-ms': {
    type: 'string',
    description: 'Longest wait for the end of the job.',
    default: '0',
  },
} as const;

const idArg = {
  id: {type: 'positional', description: 'Id of the job.', required: true},
} as const;

const submit = defineCommand({
  meta: {
    name: 'submit',
    description: 'Submit a job; safe to send again with its id.',
  },
  args: {
    ...callerArgs,
    ...waitArg,
    file: {
      type: 'positional',
      description: 'JSON file with the job, or -.',
      required: true,
    },
  },
  run: async ({args}) => {
    const base = baseUrl(args.url, VARIABLE);
    const spec = parse(await readInput(args.file), args.file);
    const body = JSON.stringify({
      ...spec,
      id: spec['id'] ?? (await newKey(base)),
    });
    const url = new URL(`/v1/jobs?wait-ms=${args['wait-ms']}`, base);
    print(await callInstance(url, 'POST', {}, Buffer.from(body)), args.json);
  },
});

const show = defineCommand({
  meta: {
    name: 'show',
    description: 'Show a job and, once it is complete, its answer.',
  },
  args: {...callerArgs, ...waitArg, ...idArg},
  run: async ({args}) => {
    const path = `/v1/jobs/${encodeURIComponent(args.id)}?wait-ms=${args['wait-ms']}`;
    print(
      await callInstance(new URL(path, baseUrl(args.url, VARIABLE)), 'GET', {}),
      args.json,
    );
  },
});

const cancel = defineCommand({
  meta: {
    name: 'cancel',
    description: 'Cancel a job; running tasks are stopped.',
  },
  args: {...callerArgs, ...idArg},
  run: async ({args}) => {
    const path = `/v1/jobs/${encodeURIComponent(args.id)}`;
    print(
      await callInstance(
        new URL(path, baseUrl(args.url, VARIABLE)),
        'DELETE',
        {},
      ),
      args.json,
    );
  },
});

/**
 * `papayarun job submit|show|cancel`
 */
export const jobCommand = defineCommand({
  meta: {name: 'job', description: 'Jobs.'},
  subCommands: {submit, show, cancel},
});

function parse(text: string, file: string): Record<string, unknown> {
  try {
    return JSON.parse(text) as Record<string, unknown>;
  } catch (err) {
    throw UsageError.create(`${file}: ${(err as Error).message}`);
  }
}

function print(answer: InstanceAnswer, json: boolean): void {
  printAnswer(answer, json, rowsOfJob);
}

function rowsOfJob(document: Row): Row[] {
  const answers = document['answers'] as unknown[] | undefined;
  return answers ? answers.map((answer, task) => ({task, answer})) : [document];
}
