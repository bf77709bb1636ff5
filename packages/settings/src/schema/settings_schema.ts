import * as z from 'zod';
import {limitsSchema} from './limits_schema.js';
import {listenerSchema} from './listener_schema.js';
import {memberSchema} from './member_schema.js';
import {nameSchema} from './name_schema.js';
import {timingSchema} from './timing_schema.js';

const keyFileSchema = z.string().min(1, 'expected the path of a key file');

/**
 * Schema of the settings file of an instance.
 */
export const settingsSchema = z
  .strictObject({
    instanceId: nameSchema,
    dataCentre: nameSchema,
    region: nameSchema,
    /**
     * Listener for callers, targets and workers, which connect through the
     * platform's load balancer.
     */
    callers: listenerSchema.extend({
      /**
       * File with the key that targets and workers present when they announce
       * themselves. Without it, announcements are not authenticated.
       */
      announceKeyFile: keyFileSchema.optional(),
    }),
    operators: listenerSchema.extend({keyFile: keyFileSchema}),
    peers: listenerSchema.extend({
      keyFile: keyFileSchema,
      members: z.array(memberSchema).min(1).max(512),
    }),
    /**
     * Folder on disk for the release log. Required on a replica of the release
     * log and not allowed on any other instance.
     */
    dataDir: z.string().min(1).optional(),
    limits: limitsSchema.prefault({}),
    timing: timingSchema.prefault({}),
    log: z
      .strictObject({
        level: z
          .enum(['trace', 'debug', 'info', 'warn', 'error'])
          .default('info'),
        /** Whether to log each routing and placement decision. */
        decisions: z.boolean().default(true),
      })
      .prefault({}),
  })
  .superRefine((cfg, ctx) => {
    const instanceIds = cfg.peers.members.map(member => member.instanceId);
    instanceIds.forEach((id, i) => {
      if (instanceIds.indexOf(id) !== i) {
        ctx.addIssue({
          code: 'custom',
          path: ['peers', 'members', i, 'instanceId'],
          input: id,
          message: 'expected each instanceId only once in peers.members',
        });
      }
    });
    const self = cfg.peers.members.find(m => m.instanceId === cfg.instanceId);
    if (!self) {
      ctx.addIssue({
        code: 'custom',
        path: ['peers', 'members'],
        input: instanceIds.join(', '),
        message: `expected a member with instanceId ${cfg.instanceId}`,
      });
      return;
    }
    if (self.dataCentre !== cfg.dataCentre) {
      ctx.addIssue({
        code: 'custom',
        path: ['dataCentre'],
        input: cfg.dataCentre,
        message: `expected ${self.dataCentre}, the dataCentre of this instance in peers.members`,
      });
    }
    if (self.replica !== (cfg.dataDir !== undefined)) {
      ctx.addIssue({
        code: 'custom',
        path: ['dataDir'],
        input: cfg.dataDir,
        message: self.replica
          ? 'expected a folder: peers.members marks this instance as a replica'
          : 'expected no folder: peers.members does not mark this instance as a replica',
      });
    }
    if (cfg.timing.peerTimeoutMs < 2 * cfg.timing.heartbeatMs) {
      ctx.addIssue({
        code: 'custom',
        path: ['timing', 'peerTimeoutMs'],
        input: cfg.timing.peerTimeoutMs,
        message: 'expected at least twice timing.heartbeatMs',
      });
    }
  });
