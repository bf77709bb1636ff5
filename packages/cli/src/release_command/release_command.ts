import {defineCommand} from 'citty';
import {callOperatorApi} from '../_lib/call_operator_api.js';
import {operatorArgs} from '../_lib/common_args.js';
import {printResponse} from '../_lib/print_response.js';
import {readInput} from '../_lib/read_input.js';

type Row = Readonly<Record<string, unknown>>;

const apply = defineCommand({
  meta: {
    name: 'apply',
    description: 'Apply a release note; can be retried safely.',
  },
  args: {
    ...operatorArgs,
    file: {
      type: 'positional',
      description: 'JSON file with the release note, or - for standard input.',
      required: true,
    },
  },
  run: async ({args}) => {
    const note = await readInput(args.file);
    const response = await callOperatorApi(args, 'POST', '/v1/releases', note);
    printResponse(response, args.json, document => [document]);
  },
});

const show = defineCommand({
  meta: {
    name: 'show',
    description: 'Show a release; the current one by default.',
  },
  args: {
    ...operatorArgs,
    number: {
      type: 'positional',
      description: 'Number of the release.',
      default: 'current',
    },
  },
  run: async ({args}) => {
    const response = await callOperatorApi(
      args,
      'GET',
      `/v1/releases/${encodeURIComponent(args.number)}`,
    );
    printResponse(response, args.json, toReleaseRows);
  },
});

const list = defineCommand({
  meta: {name: 'list', description: 'List the latest accepted release notes.'},
  args: operatorArgs,
  run: async ({args}) => {
    const response = await callOperatorApi(args, 'GET', '/v1/releases');
    printResponse(response, args.json, document => document['notes'] as Row[]);
  },
});

/**
 * Commands `papayarun release apply|show|list`.
 */
export const releaseCommand = defineCommand({
  meta: {
    name: 'release',
    description: 'Apply release notes; show and list releases.',
  },
  subCommands: {apply, show, list},
});

function toReleaseRows(document: Row): Row[] {
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
