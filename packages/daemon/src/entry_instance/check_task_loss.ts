import type {TaskLoss} from '@papayarun/protocol';

/**
 * Checks the shape of a received notice of a task loss.
 *
 * @param value - Decoded message.
 * @returns The loss.
 * @throws Error that names the field.
 * @example
 * checkTaskLoss({kind: 'relato', taskId: '5c0e.0.0.1', targets: 1});
 */
export function checkTaskLoss(value: unknown): TaskLoss {
  const {kind, taskId, targets} = (value ?? {}) as Record<string, unknown>;
  if (typeof kind !== 'string') {
    throw new Error('taskLost: kind is missing or not a string');
  }
  if (typeof taskId !== 'string') {
    throw new Error('taskLost: taskId is missing or not a string');
  }
  if (!Number.isSafeInteger(targets) || (targets as number) < 1) {
    throw new Error('taskLost: targets is missing or not a positive integer');
  }
  return value as TaskLoss;
}
