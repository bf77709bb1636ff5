import {defineCommand} from 'citty';
import {callOperator} from '../_lib/call_operator.js';
import {operatorArgs} from '../_lib/common_args.js';
import {printAnswer} from '../_lib/print_answer.js';

type Row = Readonly<Record<string, unknown>>;

/** Makes the command that shows one list of an instance. */
function showList(
  name: 'instances' | 'targets' | 'workers' | 'queues',
  description: string,
) {
  return defineCommand({
    meta: {name, description},
    args: operatorArgs,
    run: async ({args}) => {
      const answer = await callOperator(args, 'GET', `/v1/${name}`);
      printAnswer(answer, args.json, document => document[name] as Row[]);
    },
  });
}

const status = defineCommand({
  meta: {name: 'status', description: 'State of one instance.'},
  args: operatorArgs,
  run: async ({args}) => {
    const answer = await callOperator(args, 'GET', '/v1/status');
    printAnswer(answer, args.json, document =>
      Object.entries(document).map(([name, value]) => ({name, value})),
    );
  },
});

/**
 * `papayarun show instances|targets|workers|queues|status`
 */
export const showCommand = defineCommand({
  meta: {name: 'show', description: 'What an instance knows.'},
  subCommands: {
    instances: showList('instances', 'Live instances and claim views.'),
    targets: showList(
      'targets',
      'Targets that the instance keeps or stands by for.',
    ),
    workers: showList(
      'workers',
      'Workers that the instance keeps or stands by for.',
    ),
    queues: showList('queues', 'Room and waiting work by service.'),
    status,
  },
});
