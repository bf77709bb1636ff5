import {defineCommand} from 'citty';
import {callOperator} from '../_lib/call_operator.js';
import {operatorArgs} from '../_lib/common_args.js';
import {printAnswer} from '../_lib/print_answer.js';

/** `papayarun drain` */
const drain = defineCommand({
  meta: {
    name: 'drain',
    description: 'End an instance once its requests are answered.',
  },
  args: operatorArgs,
  run: async ({args}) => {
    printAnswer(
      await callOperator(args, 'POST', '/v1/drain'),
      args.json,
      document => [document],
    );
  },
});

/** `papayarun form-cluster` */
const formCluster = defineCommand({
  meta: {
    name: 'form-cluster',
    description: 'Form the release log over blank disks, once.',
  },
  args: operatorArgs,
  run: async ({args}) => {
    const answer = await callOperator(args, 'POST', '/v1/cluster');
    printAnswer(answer, args.json, document => {
      const {voters} = document['replicas'] as {
        voters: Array<Record<string, unknown>>;
      };
      return voters;
    });
  },
});

/** `papayarun reset-view DATA-CENTRE` */
const resetView = defineCommand({
  meta: {
    name: 'reset-view',
    description:
      "Open a new claim generation, after a data centre's claims were lost for good.",
  },
  args: {
    ...operatorArgs,
    'data-centre': {
      type: 'positional',
      description: 'Data centre.',
      required: true,
    },
  },
  run: async ({args}) => {
    const path = `/v1/views/${encodeURIComponent(args['data-centre'])}/reset`;
    printAnswer(await callOperator(args, 'POST', path), args.json, document => [
      document,
    ]);
  },
});

/**
 * Commands that change an instance or the cluster.
 */
export const operateCommands = {
  drain,
  'form-cluster': formCluster,
  'reset-view': resetView,
};
