import gts from 'gts/build/eslint.config.js';
import ignores from 'gts/build/eslint.ignores.js';
import {defineConfig} from 'eslint/config';

export default defineConfig([
  {
    ignores: [
      ...ignores,
      '**/dist/**',
      'target/**',
      'journal/**',
      '*.config.js',
      '*.config.ts',
      'packages/*/bin/**',
    ],
  },
  ...gts,
  {
    files: ['packages/*/src/**/*.ts', 'platform/src/**/*.ts'],
    languageOptions: {
      parserOptions: {
        project: './tsconfig.eslint.json',
        tsconfigRootDir: import.meta.dirname,
      },
    },
    rules: {
      '@typescript-eslint/no-floating-promises': 'error',
      'no-restricted-syntax': [
        'error',
        {
          selector: 'ExportDefaultDeclaration',
          message: 'Use named exports.',
        },
        {
          selector: 'PrivateIdentifier',
          message: 'Use private, not #.',
        },
      ],
    },
  },
]);
