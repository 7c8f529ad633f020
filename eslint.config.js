import js from '@eslint/js';
import tseslint from 'typescript-eslint';
import {
  docRules,
  importRules,
  nameRules,
  plugins,
  protocolFiles,
  settings,
  shapeRules,
} from './lint/rules.js';

/** These functions of node:test return a promise that the test runner awaits. */
const nodeTest = { from: 'package', package: 'node:test', name: ['test', 'it', 'describe'] };

export default tseslint.config(
  { ignores: ['target/', 'node_modules/', 'journal/'] },
  js.configs.recommended,
  ...tseslint.configs.strictTypeChecked,
  {
    languageOptions: { parserOptions: { projectService: true, tsconfigRootDir: import.meta.dirname } },
    rules: {
      eqeqeq: 'error',
      'object-shorthand': 'error',
      'no-useless-rename': 'error',
      '@typescript-eslint/no-explicit-any': 'error',
      '@typescript-eslint/no-non-null-assertion': 'off',
      '@typescript-eslint/no-confusing-void-expression': ['error', { ignoreArrowShorthand: true }],
      '@typescript-eslint/no-floating-promises': ['error', { allowForKnownSafeCalls: [nodeTest] }],
      '@typescript-eslint/restrict-template-expressions': [
        'error',
        { allowNumber: true, allowBoolean: true, allowNullish: false, allowAny: false },
      ],
      '@typescript-eslint/switch-exhaustiveness-check': 'error',
      // Fields can change while a method awaits. The compiler's narrowing ignores that, so the rule would report
      // necessary checks.
      '@typescript-eslint/no-unnecessary-condition': 'off',
    },
  },
  {
    files: ['src/**/*.ts'],
    plugins,
    settings,
    rules: { ...importRules, ...shapeRules, ...nameRules, ...docRules },
  },
  // These files contain the names of the external protocols.
  { files: protocolFiles, rules: { 'brookspur/vocabulary': 'off' } },
  { files: ['**/*.js'], ...tseslint.configs.disableTypeChecked },
);
