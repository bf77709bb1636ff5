import {defineCommand} from 'citty';
import {callOperatorApi} from '../_lib/call_operator_api.js';
import {operatorArgs} from '../_lib/common_args.js';
import {printResponse} from '../_lib/print_response.js';

type Row = Readonly<Record<string, unknown>>;

/** Defines a command that shows one of the lists of an instance. */
function defineListCommand(
  name: 'instances' | 'targets' | 'workers' | 'queues',
  description: string,
) {
  return defineCommand({
    meta: {name, description},
    args: operatorArgs,
    run: async ({args}) => {
      const response = await callOperatorApi(args, 'GET', `/v1/${name}`);
      printResponse(response, args.json, document => document[name] as Row[]);
    },
  });
}

const status = defineCommand({
  meta: {name: 'status', description: 'Status of one instance.'},
  args: operatorArgs,
  run: async ({args}) => {
    const response = await callOperatorApi(args, 'GET', '/v1/status');
    printResponse(response, args.json, document =>
      Object.entries(document).map(([name, value]) => ({name, value})),
    );
  },
});

/**
 * Commands `papayarun show instances|targets|workers|queues|status`.
 */
export const showCommand = defineCommand({
  meta: {name: 'show', description: 'Show the state of an instance.'},
  subCommands: {
    instances: defineListCommand(
      'instances',
      'Live instances and claim views.',
    ),
    targets: defineListCommand(
      'targets',
      'Targets for which the instance is the keeper or the standby.',
    ),
    workers: defineListCommand(
      'workers',
      'Workers for which the instance is the keeper or the standby.',
    ),
    queues: defineListCommand(
      'queues',
      'Free capacity and queued work by service.',
    ),
    status,
  },
});
