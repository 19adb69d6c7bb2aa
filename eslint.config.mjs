import { dirname } from 'node:path';
import { fileURLToPath } from 'node:url';

import { configs, plugins } from 'eslint-config-airbnb-extended';
import prettier from 'eslint-config-prettier';
import tseslint from 'typescript-eslint';

export default [
  {
    ignores: [
      '**/dist/**',
      'target/**',
      '**/node_modules/**',
      '**/generated/**',
      '.tap/**',
      '.dependency-cruiser.cjs',
    ],
  },
  plugins.stylistic,
  plugins.importX,
  plugins.node,
  plugins.typescriptEslint,
  ...configs.base.recommended,
  ...configs.node.recommended,
  ...configs.base.typescript,
  prettier,
  {
    files: ['**/*.ts'],
    languageOptions: {
      parser: tseslint.parser,
      parserOptions: {
        projectService: true,
        tsconfigRootDir: dirname(fileURLToPath(import.meta.url)),
      },
    },
    rules: {
      '@typescript-eslint/no-floating-promises': 'error',
      '@typescript-eslint/no-use-before-define': ['error', { functions: false }],
      // Type-only modules stand beside their factory functions.
      '@typescript-eslint/consistent-type-definitions': 'off',
    },
  },
  {
    rules: {
      // A file is named after its one export, and named exports keep that name at the import.
      'import-x/prefer-default-export': 'off',
      // Cycles are checked by dependency-cruiser, which is faster over the whole workspace.
      'import-x/no-cycle': 'off',
      // The workspace's root package.json carries the dependencies of all packages.
      'import-x/no-extraneous-dependencies': 'off',
      'import-x/extensions': 'off',
      // The type checker resolves imports, the packages' "exports" point at TypeScript sources.
      'import-x/no-unresolved': 'off',
      'import-x/no-rename-default': 'off',
      // One task per connection awaits in a loop on purpose.
      'no-await-in-loop': 'off',
      'no-restricted-syntax': 'off',
      'no-continue': 'off',
      'no-void': ['error', { allowAsStatement: true }],
      'no-use-before-define': 'off',
      'no-underscore-dangle': 'off',
    },
  },
  {
    files: ['**/*.test.ts', 'bench/**/*.ts', 'tools/**'],
    rules: {
      'no-console': 'off',
      // fetch is present in Node.js 20, although it was declared stable only in 21.
      'n/no-unsupported-features/node-builtins': ['error', { ignores: ['fetch'] }],
    },
  },
  {
    // Build scripts run one step after the other, and the rule needs types that plain JavaScript has not.
    files: ['tools/**/*.mjs'],
    rules: { 'n/no-sync': 'off', 'n/no-process-exit': 'off' },
  },
];
