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
    files: ['test/**', 'scripts/**'],
    rules: {
      'max-lines-per-function': 'off',
      '@typescript-eslint/no-unused-expressions': 'off',
      'no-unused-expressions': 'off'
    }
  }
]
