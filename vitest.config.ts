import {defineConfig} from 'vitest/config';

const SLOWEST_TEST_MS = 120_000;
/** Tests that measure the memory of processes; their names end so. */
const MEMORY_TESTS = 'platform/src/**/*.memory.test.ts';

export default defineConfig({
  test: {
    reporters: ['default'],
    projects: [
      {
        extends: true,
        test: {
          name: 'main',
          include: ['packages/*/src/**/*.test.ts', 'platform/src/**/*.test.ts'],
          exclude: [MEMORY_TESTS],
          testTimeout: SLOWEST_TEST_MS,
          hookTimeout: SLOWEST_TEST_MS,
          // Tests of real processes share the machine's cores.
          maxWorkers: 3,
          sequence: {groupOrder: 0},
        },
      },
      {
        extends: true,
        test: {
          name: 'memory',
          include: [MEMORY_TESTS],
          testTimeout: SLOWEST_TEST_MS,
          hookTimeout: SLOWEST_TEST_MS,
          // One file at a time, after all files of the other project.
          maxWorkers: 1,
          sequence: {groupOrder: 1},
        },
      },
    ],
  },
});
