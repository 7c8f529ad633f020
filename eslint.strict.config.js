/** The rules that every module is to satisfy, without the list of those that don't yet. */
import base from './eslint.config.js';
import {
  docRules,
  importRules,
  nameRules,
  plugins,
  protocolEdge,
  settings,
  shapeRules,
} from './lint/strict.js';

export default [
  ...base,
  {
    files: ['src/**/*.ts'],
    plugins,
    settings,
    rules: { ...importRules, ...shapeRules, ...nameRules, ...docRules },
  },
  { files: protocolEdge, rules: { 'brookspur/vocabulary': 'off' } },
];
