/**
Directives: options that a caller sets for a request in a leading comment, or for its session in variables.
*/
import * as Either from 'fp-ts/lib/Either.js';
import type * as types from '../generated/types.js';
import * as errors from './errors.js';
import * as position from './position.js';

/** Directives of one request, or defaults of a session. */
export type Directives = {
	readonly class?: string;
	/** Maximum age of the data that a read returns. */
	readonly ageMs?: number;
	/** Log position that a read must include. */
	readonly position?: types.Position;
	/** Idempotency key. */
	readonly request?: string;
	/** Session name set by the caller, for logs. */
	readonly session?: string;
};

const directiveNames = ['class', 'age', 'position', 'request', 'session'];
const commentPattern = /^\s*\/\*\s*sycamorering\b(?<list>[^*]*)\*\/\s*/v;
/** Leading characters searched for directives. Several MB would overflow the stack of the regular expression engine. */
const maxPrefixChars = 4096;
/** Matches trimmed text only, because two runs of spaces around an optional semicolon backtrack heavily. */
const variablePattern = /^\s*set\s+@sycamorering_(?<name>\w+)\s*:?=\s*(?:'(?<quoted>[^']*)'|(?<plain>[^\s;']+))\s*;?$/iv;
const anyVariablePattern = /^\s*set\s+@sycamorering_/iv;
const millisecondsByUnit = new Map([['ms', 1], ['s', 1000], ['m', 60_000]]);

/**
Parses the leading comment of a statement, and returns the directives and the statement without it.

Errors: `directive`, naming the unknown or malformed directive.

@example
```
directive.parseComment('/* sycamorering class=balance age=2s *\/ SELECT 1');
//=> right({directives: {class: 'balance', ageMs: 2000}, sql: 'SELECT 1'})
```
*/
export function parseComment(sql: string): errors.Outcome<{directives: Directives; sql: string}> {
	const match = commentPattern.exec(sql.slice(0, maxPrefixChars));
	if (!match) {
		return Either.right({directives: {}, sql});
	}

	let directives: Directives = {};
	for (const item of (match.groups?.list ?? '').trim().split(/\s+/v).filter(part => part !== '')) {
		const [name = '', value = ''] = item.split('=', 2);
		const outcome = parse(name, value);
		if (Either.isLeft(outcome)) {
			return outcome;
		}

		directives = {...directives, ...outcome.right};
	}

	return Either.right({directives, sql: sql.slice(match[0].length)});
}

/**
Parses `SET @sycamorering_<name> = <value>`; returns `undefined` for any other statement.

Errors: `directive`, naming the unknown or malformed directive.

@example
```
directive.parseVariable('SET @sycamorering_age = \'2s\''); //=> right({ageMs: 2000})
```
*/
export function parseVariable(sql: string): errors.Outcome<Directives> | undefined {
	const match = variablePattern.exec(sql.length > maxPrefixChars ? '' : sql.trim());
	if (match?.groups) {
		return parse(match.groups.name ?? '', match.groups.quoted ?? match.groups.plain ?? '');
	}

	return anyVariablePattern.test(sql.slice(0, maxPrefixChars))
		? errors.fail('directive', 'parse', '', `"${sql.trim().slice(0, 80)}" is not of the form SET @sycamorering_name = 'value'`)
		: undefined;
}

/**
Formats directives as a leading comment followed by a space; returns an empty string if there are none.

@example
```
directive.format({class: 'balance', ageMs: 2000}); //=> '/* sycamorering class=balance age=2000ms *\/ '
```
*/
export function format({class: className, ageMs, position: minPosition, request, session}: Directives): string {
	const values: ReadonlyArray<readonly [string, string | undefined]> = [
		['class', className],
		['age', ageMs === undefined ? undefined : `${ageMs}ms`],
		['position', minPosition && position.format(minPosition)],
		['request', request],
		['session', session],
	];
	const list = values.flatMap(([key, value]) => value === undefined ? [] : [`${key}=${value}`]);
	return list.length === 0 ? '' : `/* sycamorering ${list.join(' ')} */ `;
}

function parse(name: string, value: string): errors.Outcome<Directives> {
	switch (name) {
		case 'class': {
			return parseToken(name, value, text => ({class: text}));
		}

		case 'request': {
			return parseToken(name, value, text => ({request: text}));
		}

		case 'session': {
			return parseToken(name, value, text => ({session: text}));
		}

		case 'age': {
			return Either.map((ageMs: number) => ({ageMs}))(parseAge(value));
		}

		case 'position': {
			return Either.map((parsed: types.Position) => ({position: parsed}))(position.parse(value));
		}

		default: {
			return errors.fail('directive', 'parse', '', `unknown directive "${name}"; known are ${directiveNames.join(', ')}`);
		}
	}
}

function parseToken(name: string, value: string, build: (text: string) => Directives): errors.Outcome<Directives> {
	return /^[\w.:\-]{1,64}$/v.test(value)
		? Either.right(build(value))
		: errors.fail('directive', 'parse', '', `directive ${name}: "${value}" is not 1 to 64 letters, digits or _ . : -`);
}

function parseAge(value: string): errors.Outcome<number> {
	const match = /^(?<number>\d{1,9}(?:\.\d{1,3})?)(?<unit>ms|s|m)$/v.exec(value);
	return match?.groups
		? Either.right(Number(match.groups.number) * (millisecondsByUnit.get(match.groups.unit ?? '') ?? 1))
		: errors.fail('directive', 'parse', '', `directive age: "${value}" is not a number with unit ms, s or m`);
}
