import {defineCommand} from 'citty';
import {callOperatorApi} from '../_lib/call_operator_api.js';
import {operatorArgs} from '../_lib/common_args.js';
import {printResponse} from '../_lib/print_response.js';

/** Command `papayarun drain`. */
const drain = defineCommand({
  meta: {
    name: 'drain',
    description:
      'Stop an instance after its requests in progress are finished.',
  },
  args: operatorArgs,
  run: async ({args}) => {
    printResponse(
      await callOperatorApi(args, 'POST', '/v1/drain'),
      args.json,
      document => [document],
    );
  },
});

/** Command `papayarun form-cluster`. */
const formCluster = defineCommand({
  meta: {
    name: 'form-cluster',
    description: 'Bootstrap the release log on empty disks; needed only once.',
  },
  args: operatorArgs,
  run: async ({args}) => {
    const response = await callOperatorApi(args, 'POST', '/v1/cluster');
    printResponse(response, args.json, document => {
      const {voters} = document['replicas'] as {
        voters: Array<Record<string, unknown>>;
      };
      return voters;
    });
  },
});

/** Command `papayarun reset-view DATA-CENTRE`. */
const resetView = defineCommand({
  meta: {
    name: 'reset-view',
    description:
      "Start a new claim generation after a data centre's claims were permanently lost.",
  },
  args: {
    ...operatorArgs,
    'data-centre': {
      type: 'positional',
      description: 'Name of the data centre.',
      required: true,
    },
  },
  run: async ({args}) => {
    const path = `/v1/views/${encodeURIComponent(args['data-centre'])}/reset`;
    printResponse(
      await callOperatorApi(args, 'POST', path),
      args.json,
      document => [document],
    );
  },
});

/**
 * Commands for operators that change the state of an instance or of the cluster.
 */
export const operatorCommands = {
  drain,
  'form-cluster': formCluster,
  'reset-view': resetView,
};
