import fs from 'node:fs';
import gts from 'gts';
import tseslint from 'typescript-eslint';

const glossary = fs.readFileSync(
  new URL('./docs/glossary.md', import.meta.url),
  'utf8',
);
const verbList = /<!-- verbs -->([\s\S]*?)<!-- \/verbs -->/.exec(glossary)[1];
const verbs = verbList.match(/[a-z]+/g);
const verbPattern = new RegExp(`^_?(${verbs.join('|')})($|[A-Z0-9])`);

/** Requires that names of functions and methods begin with a listed verb. */
const verbFirst = {
  meta: {type: 'suggestion', schema: []},
  create(context) {
    const check = (node, name) => {
      if (verbPattern.test(name)) return;
      context.report({
        node,
        message: `"${name}" doesn't begin with a verb of docs/glossary.md`,
      });
    };
    return {
      FunctionDeclaration: node => node.id && check(node.id, node.id.name),
      MethodDefinition: node =>
        node.kind === 'method' &&
        node.key.type === 'Identifier' &&
        check(node.key, node.key.name),
    };
  },
};

export default tseslint.config(
  {ignores: ['dist/**', 'target/**', 'node_modules/**', 'bench-results/**']},
  ...gts,
  {files: ['*.js', 'deploy/*.js'], languageOptions: {sourceType: 'module'}},
  {
    files: [
      'src/**/*.ts',
      'platform/**/*.ts',
      'tools/**/*.ts',
      'tests/**/*.ts',
    ],
    languageOptions: {
      parserOptions: {
        project: './tsconfig.json',
        tsconfigRootDir: import.meta.dirname,
      },
    },
    plugins: {local: {rules: {'verb-first': verbFirst}}},
    rules: {
      'local/verb-first': 'error',
      'no-undef': 'off',
      'n/no-unpublished-import': 'off',
      'n/no-missing-import': 'off',
      'n/no-unsupported-features/node-builtins': 'off',
      'n/no-process-exit': 'off',
      eqeqeq: 'error',
      'max-lines': ['error', {max: 500, skipBlankLines: true}],
      '@typescript-eslint/no-explicit-any': 'error',
      '@typescript-eslint/no-floating-promises': 'error',
      '@typescript-eslint/switch-exhaustiveness-check': [
        'error',
        {considerDefaultExhaustiveForUnions: true},
      ],
      '@typescript-eslint/no-unused-vars': [
        'error',
        {argsIgnorePattern: '^_', varsIgnorePattern: '^_'},
      ],
      '@typescript-eslint/naming-convention': [
        'error',
        {selector: 'function', format: ['camelCase']},
        {
          selector: 'classMethod',
          format: ['camelCase'],
          leadingUnderscore: 'allow',
        },
        {selector: 'typeLike', format: ['PascalCase']},
        {selector: 'enumMember', format: ['PascalCase']},
      ],
    },
  },
  {
    files: ['tests/**/*.ts'],
    rules: {
      '@typescript-eslint/no-unused-expressions': 'off',
      'n/no-extraneous-import': 'off',
    },
  },
);
