import {z} from 'zod';
import {limitsSchema} from './limits_schema.js';
import {listenerSchema} from './listener_schema.js';
import {memberSchema} from './member_schema.js';
import {nameSchema} from './name_schema.js';
import {timingSchema} from './timing_schema.js';

const keyFile = z.string().min(1, 'expected the path of a key file');

/**
 * Schema of an instance's settings file.
 */
export const settingsSchema = z
  .strictObject({
    instanceId: nameSchema,
    dataCentre: nameSchema,
    region: nameSchema,
    /** Callers, targets and workers, behind the platform's balancer. */
    callers: listenerSchema.extend({
      /** Key that targets and workers present; without it anyone announces. */
      announceKeyFile: keyFile.optional(),
    }),
    operators: listenerSchema.extend({keyFile}),
    peers: listenerSchema.extend({
      keyFile,
      members: z.array(memberSchema).min(1).max(512),
    }),
    /** Folder on a disk; makes the instance a replica of the release log. */
    dataDir: z.string().min(1).optional(),
    limits: limitsSchema.prefault({}),
    timing: timingSchema.prefault({}),
    log: z
      .strictObject({
        level: z
          .enum(['trace', 'debug', 'info', 'warn', 'error'])
          .default('info'),
        /** Whether each routing and placement decision is logged. */
        decisions: z.boolean().default(true),
      })
      .prefault({}),
  })
  .superRefine((cfg, ctx) => {
    const ids = cfg.peers.members.map(member => member.instanceId);
    ids.forEach((id, i) => {
      if (ids.indexOf(id) !== i) {
        ctx.addIssue({
          code: 'custom',
          path: ['peers', 'members', i, 'instanceId'],
          input: id,
          message: 'expected each instance once',
        });
      }
    });
    const self = cfg.peers.members.find(m => m.instanceId === cfg.instanceId);
    if (!self) {
      ctx.addIssue({
        code: 'custom',
        path: ['peers', 'members'],
        input: ids.join(', '),
        message: `expected a member with instanceId ${cfg.instanceId}`,
      });
      return;
    }
    if (self.dataCentre !== cfg.dataCentre) {
      ctx.addIssue({
        code: 'custom',
        path: ['dataCentre'],
        input: cfg.dataCentre,
        message: `expected ${self.dataCentre}, as peers.members says`,
      });
    }
    if (self.replica !== (cfg.dataDir !== undefined)) {
      ctx.addIssue({
        code: 'custom',
        path: ['dataDir'],
        input: cfg.dataDir,
        message: self.replica
          ? 'expected a folder: peers.members marks this instance as a replica'
          : 'expected none: peers.members does not mark this instance as a replica',
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
