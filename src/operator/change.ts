/**
Compares two configurations by section and key.
*/
import * as Either from 'fp-ts/lib/Either.js';
import type * as types from '../generated/types.js';
import type * as errors from '../core/errors.js';
import * as settings from '../core/settings.js';
import * as print from './print.js';

/**
One difference. `key` is empty if it concerns a whole section. A missing value is empty, and passwords and their hashes are
`(hidden)`.
*/
export type Change = {
	readonly kind: 'added' | 'removed' | 'changed';
	readonly section: string;
	readonly key: string;
	readonly before: string;
	readonly after: string;
};

type Values = ReadonlyMap<string, ReadonlyMap<string, string>>;

const secretKeys = new Set(['password', 'passwordHash']);
const hidden = '(hidden)';
const emptyConfiguration: types.Configuration = {service: {}, account: {}};

/**
Returns the differences between two INI texts, sorted by section and key. An empty `before` means no configuration. An
omitted key is equal to one that is set to its default.

Errors: `settings`, if one of the texts is invalid.

@example
```
const outcome = change.diff({text: current, file: 'store'}, {text: updated, file: 'site.ini'});
```
*/
export function diff(
	before: {readonly text: string; readonly file: string},
	after: {readonly text: string; readonly file: string},
): errors.Outcome<Change[]> {
	const current = before.text === '' ? Either.right(emptyConfiguration) : settings.parseConfiguration(before.text, before.file);
	const updated = settings.parseConfiguration(after.text, after.file);
	if (Either.isLeft(current)) {
		return current;
	}

	return Either.map((content: types.Configuration) => compare(indexBySection(current.right), indexBySection(content)))(updated);
}

/**
Formats differences as lines of text: `+` added, `-` removed, `~` changed.

@example
```
change.describe([{kind: 'changed', section: 'service.ledgers', key: 'slots', before: '2', after: '3'}]);
//=> '~ [service.ledgers] slots: 2 -> 3'
```
*/
export function describe(changes: readonly Change[]): string {
	const signs = {added: '+', removed: '-', changed: '~'} as const;
	return changes.map(({kind, section, key, before, after}) => {
		const value = kind === 'changed' ? `${before} -> ${after}` : `${before}${after}`;
		return `${signs[kind]} [${section}]${key === '' ? '' : ` ${key}: ${value}`}`;
	}).join('\n');
}

function indexBySection(configuration: types.Configuration): Values {
	return new Map(print.sections(configuration).map(({name, values}) => [name, values]));
}

function compare(before: Values, after: Values): Change[] {
	const names = [...new Set([...before.keys(), ...after.keys()])].toSorted();
	return names.flatMap(section => [
		...compareSection(section, before.has(section), after.has(section)),
		...compareValues(section, before.get(section) ?? new Map<string, string>(), after.get(section) ?? new Map<string, string>()),
	]);
}

function compareSection(section: string, wasPresent: boolean, isPresent: boolean): Change[] {
	return wasPresent === isPresent
		? []
		: [{
			kind: isPresent ? 'added' : 'removed', section, key: '', before: '', after: '',
		}];
}

function compareValues(section: string, before: ReadonlyMap<string, string>, after: ReadonlyMap<string, string>): Change[] {
	const keys = [...new Set([...before.keys(), ...after.keys()])].toSorted();
	return keys.filter(key => before.get(key) !== after.get(key)).map(key => ({
		kind: kindOf(before.get(key), after.get(key)),
		section,
		key,
		before: formatValue(key, before.get(key)),
		after: formatValue(key, after.get(key)),
	}));
}

function kindOf(before: string | undefined, after: string | undefined): Change['kind'] {
	if (before === undefined) {
		return 'added';
	}

	return after === undefined ? 'removed' : 'changed';
}

function formatValue(key: string, value: string | undefined): string {
	if (value === undefined) {
		return '';
	}

	return secretKeys.has(key) ? hidden : JSON.stringify(value).slice(1, -1);
}
