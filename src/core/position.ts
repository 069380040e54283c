/**
Positions in the log of a database group. An entry is identified by the term in which it was written and its index.
*/
import * as Either from 'fp-ts/lib/Either.js';
import type * as types from '../generated/types.js';
import * as errors from './errors.js';

export type Position = types.Position;

/** The index at which the entries of each term begin, in ascending order. */
export type History = readonly types.TermStart[];

/** The part of a server's status that describes its log. */
export type Log = {readonly last: Position; readonly history: History};

/** Relation of a log to a position. */
export type Relation = 'contains' | 'behind' | 'lost';

/**
Compares positions by term, then by index.

@example
```
position.compare({term: 2, index: 7}, {term: 3, index: 1}); //=> negative
```
*/
export function compare(left: Position, right: Position): number {
	return left.term - right.term || left.index - right.index;
}

/**
Returns the later of two positions; null means no position.

@example
```
session.position = position.latest(session.position, answer.position);
```
*/
export function latest(left: Position | null, right: Position | null): Position | null {
	if (!left || !right) {
		return left ?? right;
	}

	return compare(left, right) >= 0 ? left : right;
}

/**
Returns the latest of some positions; null if none is known.

@example
```
const confirmed = position.latestOf(reports.map(report => report.acknowledged));
```
*/
export function latestOf(positions: ReadonlyArray<Position | null>): Position | null {
	let result: Position | null = null;
	for (const position of positions) {
		result = latest(result, position);
	}

	return result;
}

/**
Returns the relation of a log to a position: the log contains the entry, may still receive it, or has lost it because a
later term began at or before its index.

@example
```
position.relate({last: {term: 3, index: 9}, history: [{term: 3, start: 5}]}, {term: 2, index: 6}); //=> 'lost'
```
*/
export function relate(log: Log, position: Position): Relation {
	if (log.history.some(({term, start}) => term > position.term && start <= position.index)) {
		return 'lost';
	}

	if (log.last.index < position.index) {
		return 'behind';
	}

	return termAt(log.history, position.index) === position.term ? 'contains' : 'behind';
}

/**
Returns the term of the entry at an index; 0 before the first entry.

@example
```
position.termAt([{term: 1, start: 1}, {term: 3, start: 5}], 4); //=> 1
```
*/
export function termAt(history: History, index: number): number {
	return history.findLast(({start}) => start <= index)?.term ?? 0;
}

/**
Formats a position as `term:index`, the form used in directives and in the session state of OK packets.

@example
```
position.format({term: 3, index: 120}); //=> '3:120'
```
*/
export function format({term, index}: Position): string {
	return `${term}:${index}`;
}

/**
Parses a position of the form `term:index`.

Errors: `directive` if the text has another form.

@example
```
position.parse('3:120'); //=> right({term: 3, index: 120})
```
*/
export function parse(text: string): errors.Outcome<Position> {
	const match = /^(?<term>\d{1,15}):(?<index>\d{1,15})$/v.exec(text);
	if (!match?.groups) {
		return errors.fail('directive', 'parse', '', `position "${text}" is not of the form term:index`);
	}

	return Either.right({term: Number(match.groups.term), index: Number(match.groups.index)});
}
