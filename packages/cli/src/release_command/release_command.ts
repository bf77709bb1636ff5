import {defineCommand} from 'citty';
import {callOperator} from '../_lib/call_operator.js';
import {operatorArgs} from '../_lib/common_args.js';
import {printAnswer} from '../_lib/print_answer.js';
import {readInput} from '../_lib/read_input.js';

type Row = Readonly<Record<string, unknown>>;

const apply = defineCommand({
  meta: {
    name: 'apply',
    description: 'Apply a release note; safe to send again.',
  },
  args: {
    ...operatorArgs,
    file: {
      type: 'positional',
      description: 'JSON file with the note, or -.',
      required: true,
    },
  },
  run: async ({args}) => {
    const note = await readInput(args.file);
    const answer = await callOperator(args, 'POST', '/v1/releases', note);
    printAnswer(answer, args.json, document => [document]);
  },
});

const show = defineCommand({
  meta: {name: 'show', description: 'Show a release, or the current one.'},
  args: {
    ...operatorArgs,
    number: {
      type: 'positional',
      description: 'Number of the release.',
      default: 'current',
    },
  },
  run: async ({args}) => {
    const answer = await callOperator(
      args,
      'GET',
      `/v1/releases/${encodeURIComponent(args.number)}`,
    );
    printAnswer(answer, args.json, rowsOfRelease);
  },
});

const list = defineCommand({
  meta: {name: 'list', description: 'List the latest accepted notes.'},
  args: operatorArgs,
  run: async ({args}) => {
    const answer = await callOperator(args, 'GET', '/v1/releases');
    printAnswer(answer, args.json, document => document['notes'] as Row[]);
  },
});

/**
 * `papayarun release apply|show|list`
 */
export const releaseCommand = defineCommand({
  meta: {name: 'release', description: 'Release notes.'},
  subCommands: {apply, show, list},
});

function rowsOfRelease(document: Row): Row[] {
  const entries = document['entries'] as
    Record<string, {value: unknown; since: number}> | undefined;
  if (!entries) {
    return [document];
  }
  return Object.entries(entries).map(([name, {value, since}]) => ({
    name,
    value,
    since,
  }));
}
