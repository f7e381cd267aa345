import neostandard from 'neostandard'

export default [
  ...neostandard({ ts: true, ignores: ['dist/**', 'target/**', 'node_modules/**'] }),
  {
    files: ['**/*.ts'],
    rules: {
      'max-lines': ['error', { max: 400, skipBlankLines: false, skipComments: false }],
      'max-lines-per-function': ['error', { max: 60, skipBlankLines: true, skipComments: true }],
      // A `using` declaration is often made for its disposal alone.
      '@typescript-eslint/no-unused-vars': ['error', { varsIgnorePattern: '^_', argsIgnorePattern: '^_', ignoreRestSiblings: true }],
      // A zod schema and the type inferred from it share one name; the compiler reports real redeclarations.
      '@typescript-eslint/no-redeclare': 'off'
    }
  },
  {
    files: ['src/**', 'platform/**'],
    ignores: ['src/validation/**'],
    rules: {
      'no-restricted-syntax': ['error', {
        selector: 'CallExpression[callee.object.name="z"][callee.property.name=/^(array|record|partialRecord|looseRecord|map|set)$/]',
        message: 'An issue for each malformed element exhausts the heap: use list and record of src/validation.'
      }, {
        selector: 'CallExpression[callee.object.name="z"][callee.property.name="tuple"][arguments.length>1]',
        message: 'An issue for each malformed element exhausts the heap: use tupleWithRest of src/validation.'
      }, {
        selector: 'CallExpression[callee.property.name="rest"]:not([arguments.0.callee.property.name="unknown"])',
        message: 'An issue for each malformed element exhausts the heap: use tupleWithRest of src/validation.'
      }]
    }
  },
  {
    files: ['test/**', 'scripts/**'],
    rules: {
      'max-lines-per-function': 'off',
      '@typescript-eslint/no-unused-expressions': 'off',
      'no-unused-expressions': 'off'
    }
  }
]
