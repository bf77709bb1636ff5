import {defineConfig} from 'vitest/config';

const SLOWEST_TEST_MS = 120_000;

export default defineConfig({
  test: {
    include: ['packages/*/src/**/*.test.ts', 'platform/src/**/*.test.ts'],
    testTimeout: SLOWEST_TEST_MS,
    hookTimeout: SLOWEST_TEST_MS,
    // Tests of real processes share the machine's cores.
    maxWorkers: 3,
    reporters: ['default'],
  },
});
