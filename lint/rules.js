/** Lint rules on imports, sizes, names and documentation for the modules in `src`. */
import { createTypeScriptImportResolver } from 'eslint-import-resolver-typescript';
import importX from 'eslint-plugin-import-x';
import jsdoc from 'eslint-plugin-jsdoc';
import { brookspur } from './plugin.js';

/** Names of one or two letters that are allowed because their meaning is clear. */
const SHORT_NAMES = [
  'a',
  'at',
  'b',
  'by',
  'i',
  'id',
  'if',
  'ip',
  'j',
  'ms',
  'of',
  'ok',
  'on',
  'op',
  't',
  'to',
  'up',
  'v',
];

/** The layers from top to bottom. A module may import only from its own layer and those below it. */
const LAYERS = ['main.ts', 'cli', 'runtime', 'wire', 'config', 'core'];
const upwardImports = LAYERS.flatMap((layer, i) =>
  LAYERS.slice(0, i).map((above) => ({ target: `./src/${layer}`, from: `./src/${above}` })),
);

const MAX_FILE_LINES = 300;
const MAX_FUNCTION_LINES = 50;

/** Files that map the protocols' own names, and simulators and tests that use the protocols directly. */
export const protocolFiles = [
  'src/wire/**',
  'src/config/**',
  'src/test/sim/{heartbeat-handler-fixtures,worker-host,simulated-user,simulated-cloud-provider,simulated-key-value-store,production-version}.ts',
  'src/test/{wire,peer-messages,upgrade,heartbeat-handler,user-api}.test.ts',
];

export const plugins = { brookspur, 'import-x': importX, jsdoc };

/** Resolves `.js` imports to their TypeScript sources. */
export const settings = {
  'import-x/resolver-next': [createTypeScriptImportResolver()],
  'import-x/parsers': { '@typescript-eslint/parser': ['.ts'] },
  'import-x/extensions': ['.ts', '.js'],
};

/** Rules on imports: no cycles, and none from a higher layer. */
export const importRules = {
  'import-x/no-cycle': 'error',
  'import-x/no-restricted-paths': ['error', { zones: upwardImports }],
};

export const shapeRules = {
  'max-lines': ['error', { max: MAX_FILE_LINES, skipBlankLines: true, skipComments: true }],
  'max-lines-per-function': [
    'error',
    { max: MAX_FUNCTION_LINES, skipBlankLines: true, skipComments: true, IIFEs: true },
  ],
};

export const nameRules = {
  'id-length': ['error', { min: 3, properties: 'never', exceptions: SHORT_NAMES }],
  'brookspur/vocabulary': 'error',
};

export const docRules = {
  'brookspur/module-comment': 'error',
  'jsdoc/require-jsdoc': [
    'error',
    {
      publicOnly: false,
      enableFixer: false,
      require: { FunctionDeclaration: false },
      contexts: [
        'ExportNamedDeclaration[declaration]',
        'MethodDefinition[kind="method"][accessibility!="private"][override!=true]',
      ],
    },
  ],
};
