/**
What differs between two configurations, by section and key.
*/
import * as Either from 'fp-ts/lib/Either.js';
import type * as types from '../generated/types.js';
import type * as errors from '../core/errors.js';
import * as settings from '../core/settings.js';
import * as print from './print.js';

/**
One difference. `key` is empty for a whole section. A value is empty where there is none, and `(hidden)` for passwords
and their hashes.
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
const empty: types.Configuration = {service: {}, account: {}};

/**
The differences between two INI texts, sorted by section and key. An empty `before` stands for no configuration. A key
that is left out and a key that states its default are the same.

Errors: `settings`, when one of the texts is invalid.

@example
```
const outcome = change.diff({text: present, file: 'store'}, {text: wanted, file: 'site.ini'});
```
*/
export function diff(
	before: {readonly text: string; readonly file: string},
	after: {readonly text: string; readonly file: string},
): errors.Outcome<Change[]> {
	const old = before.text === '' ? Either.right(empty) : settings.parseConfiguration(before.text, before.file);
	const wanted = settings.parseConfiguration(after.text, after.file);
	if (Either.isLeft(old)) {
		return old;
	}

	return Either.map((content: types.Configuration) => compare(group(old.right), group(content)))(wanted);
}

/**
Differences as lines of text: `+` added, `-` removed, `~` changed.

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

function group(configuration: types.Configuration): Values {
	return new Map(print.sections(configuration).map(({name, values}) => [name, values]));
}

function compare(before: Values, after: Values): Change[] {
	const names = [...new Set([...before.keys(), ...after.keys()])].toSorted();
	return names.flatMap(section => [
		...compareSection(section, before.has(section), after.has(section)),
		...compareValues(section, before.get(section) ?? new Map<string, string>(), after.get(section) ?? new Map<string, string>()),
	]);
}

function compareSection(section: string, isBefore: boolean, isAfter: boolean): Change[] {
	return isBefore === isAfter
		? []
		: [{
			kind: isAfter ? 'added' : 'removed', section, key: '', before: '', after: '',
		}];
}

function compareValues(section: string, before: ReadonlyMap<string, string>, after: ReadonlyMap<string, string>): Change[] {
	const keys = [...new Set([...before.keys(), ...after.keys()])].toSorted();
	return keys.filter(key => before.get(key) !== after.get(key)).map(key => ({
		kind: kindOf(before.get(key), after.get(key)),
		section,
		key,
		before: show(key, before.get(key)),
		after: show(key, after.get(key)),
	}));
}

function kindOf(before: string | undefined, after: string | undefined): Change['kind'] {
	if (before === undefined) {
		return 'added';
	}

	return after === undefined ? 'removed' : 'changed';
}

function show(key: string, value: string | undefined): string {
	if (value === undefined) {
		return '';
	}

	return secretKeys.has(key) ? hidden : JSON.stringify(value).slice(1, -1);
}
