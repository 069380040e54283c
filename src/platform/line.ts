/**
The platform's line protocol, which callers and backend servers share: framing, and the names on the wire.

A line is a word and its fields, separated by blanks, ended by CR LF; the last field extends to the end of the line.
Lines are read and written as Latin-1, which keeps every byte of a text as it is.
*/
import * as buffer from 'node:buffer';
import * as Either from 'fp-ts/lib/Either.js';
import type * as types from '../generated/types.js';
import * as errors from '../core/errors.js';
import type * as statement from '../entry/statement.js';

export const encoding = 'latin1';
/** Longest line in bytes. */
const longestLine = 1_048_576;

/** The wire's names of refusals. */
const wireNames: Readonly<Record<statement.Refusal, string>> = {
	busy: 'BUSY',
	aborted: 'ABORTED',
	lagging: 'LAGGING',
	'read-only': 'READONLY',
	'wrong-server': 'WRONGNODE',
	'connection-limit': 'CONNLIMIT',
	'not-prepared': 'NOPREPARED',
	'no-database': 'NODB',
	failed: 'FAILED',
	timeout: 'TIMEOUT',
	'in-doubt': 'INDOUBT',
	malformed: 'MALFORMED',
};
const refusals = new Map(Object.entries(wireNames).map(([name, wire]) => [wire, name as statement.Refusal]));

const stateNames: Readonly<Record<types.TransactionState, string>> = {none: 'I', open: 'T', failed: 'E'};
const states = new Map(Object.entries(stateNames).map(([name, wire]) => [wire, name as types.TransactionState]));

/** Splits received bytes into lines. */
export class Splitter {
	#rest = '';

	/**
	The lines that are complete with `chunk`; `undefined` when a line is too long.

	@example
	```
	new line.Splitter().push(Buffer.from('READY I -\r\n')); //=> ['READY I -']
	```
	*/
	push(chunk: Uint8Array): string[] | undefined {
		const text = this.#rest + buffer.Buffer.from(chunk.buffer, chunk.byteOffset, chunk.byteLength).toString(encoding);
		const found = text.split('\r\n');
		this.#rest = found.pop() ?? '';
		return this.#rest.length > longestLine ? undefined : found;
	}
}

/**
The first `count` fields of a line and the rest of it.

@example
```
line.split('QUERY 5c0e READ 1a4', 2); //=> ['QUERY', '5c0e', 'READ 1a4']
```
*/
export function split(text: string, count: number): string[] {
	const fields: string[] = [];
	let from = 0;
	while (fields.length < count) {
		const end = text.indexOf(' ', from);
		if (end === -1) {
			break;
		}

		fields.push(text.slice(from, end));
		from = end + 1;
	}

	return [...fields, text.slice(from)];
}

/** The refusal that a code on the wire means; one that is not known promises nothing. */
export function parseRefusal(code: string): statement.Refusal {
	return refusals.get(code) ?? 'failed';
}

/**
Writes a complete answer to a caller.

@example
```
line.formatReply(statement.own('none')); //=> 'COMPLETE -\r\nREADY I -\r\n'
```
*/
export function formatReply(reply: statement.Reply): string {
	const rows = reply.rows.map(row => `DATAROW ${row}\r\n`).join('');
	const end = reply.refusal === null ? `COMPLETE ${reply.signature}\r\n` : formatError(reply.refusal, reply.message);
	return `${rows}${end}${formatReady(reply.state)}`;
}

/** Writes an error line. */
export function formatError(refusal: statement.Refusal, message: string): string {
	return `ERROR ${wireNames[refusal]} ${message.replaceAll(/[\r\n]/gv, ' ')}\r\n`;
}

/** Writes the line that ends an answer. Callers make no use of positions, since a session is a connection. */
export function formatReady(state: types.TransactionState): string {
	return `READY ${stateNames[state]} -\r\n`;
}

/** Reads the state and position of a READY line; `undefined` if it has another form. */
export function parseReady(text: string): Pick<statement.Reply, 'state' | 'position'> | undefined {
	const [word, stateName, positionText] = text.split(' ');
	const state = states.get(stateName ?? '');
	return word === 'READY' && state !== undefined
		? {state, position: parsePosition(positionText ?? '')}
		: undefined;
}

/** Reads a position, TERM.NUMBER; null for `-` or another form. */
export function parsePosition(text: string): statement.Position | null {
	const match = /^(?<term>\d{1,15})\.(?<index>\d{1,15})$/v.exec(text);
	return match?.groups ? {term: Number(match.groups.term), index: Number(match.groups.index)} : null;
}

/**
Reads the row that answers a question for a server's status: role, term, position received, term held, lag in ms, and
two counts that nothing here uses.

Errors: `store`, when the row has another form.
*/
export function parseStanding(row: string | undefined, server: string): errors.Outcome<statement.Standing> {
	const [role, term, received, heldTerm, lagMs] = (row ?? '').split(' ');
	const position = parsePosition(received ?? '');
	if ((role !== 'primary' && role !== 'replica') || position === null) {
		return errors.fail('not-run', 'receive', server, `unexpected status "${row ?? ''}"`);
	}

	return Either.right({
		role, term: Number(term), position, heldTerm: Number(heldTerm), lagMs: Number(lagMs),
	});
}

type Parser = (text: string) => statement.Statement | undefined;

const modes: Readonly<Record<string, types.AccessMode>> = {READ: 'read', WRITE: 'write'};

/** Readers of statements by their first word; `undefined` where the rest has another form. */
const parsers: Readonly<Record<string, Parser>> = {
	BEGIN: text => text === 'BEGIN' || text === 'BEGIN READ' ? {kind: 'begin', mode: text === 'BEGIN' ? 'write' : 'read'} : undefined,
	COMMIT: text => text === 'COMMIT' ? {kind: 'commit', text} : undefined,
	ROLLBACK: text => text === 'ROLLBACK' ? {kind: 'rollback', text} : undefined,
	READ: text => text.includes(' ') ? {kind: 'direct', mode: 'read', text} : undefined,
	WRITE: text => text.includes(' ') ? {kind: 'direct', mode: 'write', text} : undefined,
	SET(text) {
		const [, name, value] = split(text, 2);
		return name !== undefined && value !== undefined ? {kind: 'set', name, value} : undefined;
	},
	PREPARE(text) {
		const [, name, word, shape] = split(text, 3);
		const mode = modes[word ?? ''];
		return name !== undefined && mode && shape !== undefined
			? {
				kind: 'prepare', name, mode, shape,
			}
			: undefined;
	},
	EXECUTE(text) {
		const [, name, parameters] = split(text, 2);
		return name !== undefined && parameters !== undefined ? {kind: 'execute', name, parameters} : undefined;
	},
	CLOSE(text) {
		const [, name] = split(text, 1);
		return name === undefined ? undefined : {kind: 'deallocate', name};
	},
};

/** Reads the text of a caller's statement. */
export function parseStatement(text: string): statement.Statement {
	const [word = ''] = split(text, 1);
	const parse = Object.hasOwn(parsers, word) ? parsers[word] : undefined;
	return parse?.(text) ?? {kind: 'unknown'};
}

/** Writes a command to a backend server. */
export function formatCommand(command: statement.Command): string {
	switch (command.kind) {
		case 'reset':
		case 'begin':
		case 'rollback':
		case 'status':
		case 'resume': {
			return formatQuery('-', command.kind.toUpperCase());
		}

		case 'begin-read': {
			return formatQuery('-', `${formatFloor(command.floor)}BEGIN READ`);
		}

		case 'set': {
			return formatQuery('-', `SET ${command.name} ${command.value}`);
		}

		case 'prepare': {
			return formatQuery('-', `PREPARE ${command.name} ${command.mode.toUpperCase()} ${command.shape}`);
		}

		case 'pause': {
			return formatQuery('-', `PAUSE ${command.term}`);
		}

		case 'step-down': {
			return formatQuery('-', `STEPDOWN ${command.term}`);
		}

		case 'forward': {
			return formatQuery(command.id, `${formatFloor(command.floor)}${command.text}`);
		}

		case 'execute': {
			return formatQuery(command.id, `${formatFloor(command.floor)}EXECUTE ${command.name} ${command.parameters}`);
		}
	}
}

function formatQuery(id: string, text: string): string {
	return `QUERY ${id} ${text}\r\n`;
}

function formatFloor(floor: statement.Position | null): string {
	return floor === null ? '' : `MINLSN ${floor.term}.${floor.index} `;
}
