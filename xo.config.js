/**
XO's rules, with the exceptions that the house style in `docs/design.md` names.
*/
const config = [
	{
		ignores: ['dist/**', 'target/**', 'out/**', 'src/generated/**'],
	},
	{
		rules: {
			// A task written straight down awaits in its loop.
			'no-await-in-loop': 'off',
			// House style: namespace imports, also where XO prefers named or default ones.
			'unicorn/import-style': 'off',
			'import-x/no-namespace': 'off',
			// A namespace import of fp-ts keeps the capitals of its module names.
			'unicorn/no-array-callback-reference': 'off',
			// Expected failures are values in Either; left and right are its constructors.
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
				{selector: 'import', format: null},
				{selector: 'typeLike', format: ['PascalCase']},
				{selector: ['objectLiteralProperty', 'typeProperty', 'objectLiteralMethod'], format: null},
				{selector: 'variable', modifiers: ['const'], format: ['camelCase', 'UPPER_CASE']},
			],
			// The wrapped libraries are callback based and partly untyped at their edge.
			'@typescript-eslint/parameter-properties': 'off',
			// `null` is SQL NULL in rows.
			'@typescript-eslint/no-restricted-types': 'off',
		},
	},
	{
		files: ['**/tests/*.ts'],
		rules: {
			// `node:test` returns promises that the runner itself awaits.
			'@typescript-eslint/no-floating-promises': 'off',
		},
	},
];

export default config;
