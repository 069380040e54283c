/**
XO's default rules, with the exceptions of the code style in `docs/design.md`.
*/
const config = [
	{
		ignores: ['dist/**', 'target/**', 'out/**', 'src/generated/**'],
	},
	{
		rules: {
			// Each connection and peer is one sequential task, which awaits in its loops.
			'no-await-in-loop': 'off',
			// The code style uses namespace imports, also where XO prefers named or default ones.
			'unicorn/import-style': 'off',
			'import-x/no-namespace': 'off',
			// The rule mistakes calls of other objects' methods, such as `find` of a host list, for array methods with a callback.
			'unicorn/no-array-callback-reference': 'off',
			// Expected failures are values in Either, whose constructors need an explicit `undefined` where there is no value.
			'unicorn/no-useless-undefined': 'off',
		},
	},
	{
		files: ['**/*.ts'],
		rules: {
			'@typescript-eslint/naming-convention': [
				'error',
				{
					selector: 'default', format: ['camelCase'], leadingUnderscore: 'allow',
				},
				// Namespace imports of fp-ts keep the capitals of its module names.
				{selector: 'import', format: null},
				{selector: 'typeLike', format: ['PascalCase']},
				{selector: ['objectLiteralProperty', 'typeProperty', 'objectLiteralMethod'], format: null},
				{selector: 'variable', modifiers: ['const'], format: ['camelCase', 'UPPER_CASE']},
			],
			// Allows both styles; XO requires parameter properties wherever a constructor only assigns a parameter.
			'@typescript-eslint/parameter-properties': 'off',
			// `null` represents SQL NULL in rows.
			'@typescript-eslint/no-restricted-types': 'off',
		},
	},
	{
		files: ['**/tests/*.ts'],
		rules: {
			// `node:test` returns promises that the test runner awaits.
			'@typescript-eslint/no-floating-promises': 'off',
		},
	},
];

export default config;
