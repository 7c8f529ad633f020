/** The project's own lint rules: no retired words, and a doc comment at the start of each module. */
import { retiredWords } from './retired-words.js';

/** Splits an identifier or a text into lower-case words. */
const wordsOf = (text) =>
  text
    .replace(/([a-z0-9])([A-Z])/g, '$1 $2')
    .toLowerCase()
    .split(/[^a-z]+/);

const vocabulary = {
  meta: {
    type: 'suggestion',
    schema: [],
    messages: { retired: '"{{word}}" is a retired word: use "{{term}}".' },
  },
  create(context) {
    const check = (node, text) => {
      for (const word of wordsOf(text))
        if (Object.hasOwn(retiredWords, word))
          context.report({ node, messageId: 'retired', data: { word, term: retiredWords[word] } });
    };
    return {
      Program() {
        for (const comment of context.sourceCode.getAllComments()) check(comment, comment.value);
      },
      Identifier: (node) => check(node, node.name),
      PrivateIdentifier: (node) => check(node, node.name),
      Literal: (node) => {
        if (typeof node.value === 'string' && node.parent.type !== 'ImportDeclaration')
          check(node, node.value);
      },
      TemplateElement: (node) => check(node, node.value.raw),
    };
  },
};

const moduleComment = {
  meta: {
    type: 'suggestion',
    schema: [],
    messages: { missing: 'Expected a doc comment at the start of the module.' },
  },
  create: (context) => ({
    Program(node) {
      const [first] = context.sourceCode.getAllComments().filter((comment) => comment.type !== 'Shebang');
      const firstToken = context.sourceCode.getFirstToken(node);
      const isDocComment = first?.type === 'Block' && first.value.startsWith('*');
      if (!isDocComment || (firstToken && first.range[0] > firstToken.range[0]))
        context.report({ loc: { line: 1, column: 0 }, messageId: 'missing' });
    },
  }),
};

/** The ESLint plugin that contains these rules. */
export const brookspur = { rules: { vocabulary, 'module-comment': moduleComment } };
