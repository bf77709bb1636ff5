import {describe, expect, it} from 'vitest';
import {taskCount} from './task_count.js';

describe('taskCount', () => {
  it('adds the tasks of all steps', () => {
    expect(taskCount([{count: 4}, {count: 20}])).toBe(24);
    expect(taskCount([])).toBe(0);
  });
});
