/**
The platform's line protocol, used by callers and backend servers: framing, parsing and formatting.

A line is a command word and its fields, separated by spaces and terminated by CR LF; the last field extends to the end
of the line. Lines are decoded and encoded as Latin-1, which preserves every byte.
*/
import * as buffer from 'node:buffer';
import * as Either from 'fp-ts/lib/Either.js';
import type * as types from '../generated/types.js';
import * as errors from '../core/errors.js';
import type * as statement from '../entry/statement.js';

export const encoding = 'latin1';
const maxLineBytes = 1_048_576;

/** Refusal codes on the wire. */
const refusalCodes: Readonly<Record<statement.Refusal, string>> = {
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
	unauthorized: 'NOAUTH',
};
const refusalsByCode = new Map(Object.entries(refusalCodes).map(([name, wire]) => [wire, name as statement.Refusal]));

const stateCodes: Readonly<Record<types.TransactionState, string>> = {none: 'I', open: 'T', failed: 'E'};
const statesByCode = new Map(Object.entries(stateCodes).map(([name, wire]) => [wire, name as types.TransactionState]));

const terminator = '\r\n';
const carriageReturn = 0x0D;
const lineFeed = 0x0A;
const minHeldBytes = 4096;

/**
Splits a stream of bytes into lines, in time that is linear in the bytes whatever the size of the chunks. An incomplete
line is held in one buffer outside the heap, which grows by doubling; only new bytes are searched for the end of the line.
*/
export class Splitter {
	#held = buffer.Buffer.alloc(0);
	#length = 0;

	/** Memory held for an incomplete line. */
	get heldBytes(): number {
		return this.#held.length;
	}

	/**
	Adds a chunk and returns the lines that it completes; `undefined` if a line exceeds the maximum length, after which the
	stream can't be used.

	@example
	```
	new line.Splitter().push(Buffer.from('READY I -\r\n')); //=> ['READY I -']
	```
	*/
	push(chunk: Uint8Array): string[] | undefined {
		const data = buffer.Buffer.from(chunk.buffer, chunk.byteOffset, chunk.byteLength);
		if (this.#length === 0) {
			return this.#split(data);
		}

		const start = this.#complete(data);
		if (start === undefined) {
			return this.#hold(data) ? [] : undefined;
		}

		const first = this.#held.toString(encoding, 0, this.#length);
		this.#held = buffer.Buffer.alloc(0);
		this.#length = 0;
		const further = first.length > maxLineBytes ? undefined : this.#split(data.subarray(start));
		return further ? [first, ...further] : undefined;
	}

	/**
	Adds the rest of the held line without its terminator, and returns the position after the terminator; `undefined` if
	the line doesn't end in the data.
	*/
	#complete(data: buffer.Buffer): number | undefined {
		if (this.#held[this.#length - 1] === carriageReturn && data[0] === lineFeed) {
			this.#length--;
			return 1;
		}

		const end = data.indexOf(terminator, 0, encoding);
		return end !== -1 && this.#hold(data.subarray(0, end)) ? end + terminator.length : undefined;
	}

	/** Splits data that begins with a line, and holds the incomplete last line. */
	#split(data: buffer.Buffer): string[] | undefined {
		// Most chunks end with a line, and then nothing has to be searched or held.
		const isComplete = data.at(-1) === lineFeed && data.at(-2) === carriageReturn;
		const end = isComplete ? data.length - terminator.length : data.lastIndexOf(terminator, undefined, encoding);
		if (!isComplete && !this.#hold(end === -1 ? data : data.subarray(end + terminator.length))) {
			return undefined;
		}

		const lines = end === -1 ? [] : data.toString(encoding, 0, end).split(terminator);
		return data.length > maxLineBytes && lines.some(text => text.length > maxLineBytes) ? undefined : lines;
	}

	/** Appends to the held line. Returns false if it is too long; one byte more may be the begin of the terminator. */
	#hold(data: buffer.Buffer): boolean {
		const length = this.#length + data.length;
		if (length > maxLineBytes + 1 || (length === maxLineBytes + 1 && data.at(-1) !== carriageReturn)) {
			return false;
		}

		if (length > this.#held.length) {
			const grown = buffer.Buffer.allocUnsafeSlow(Math.min(maxLineBytes + 1, Math.max(minHeldBytes, 2 * length)));
			this.#held.copy(grown, 0, 0, this.#length);
			this.#held = grown;
		}

		data.copy(this.#held, this.#length);
		this.#length = length;
		return true;
	}
}

/**
Splits off the first `count` fields of a line; the last element is the rest of the line.

@example
```
line.split('QUERY 5c0e READ 1a4', 2); //=> ['QUERY', '5c0e', 'READ 1a4']
```
*/
export function split(text: string, count: number): string[] {
	const fields: string[] = [];
	let start = 0;
	while (fields.length < count) {
		const end = text.indexOf(' ', start);
		if (end === -1) {
			break;
		}

		fields.push(text.slice(start, end));
		start = end + 1;
	}

	return [...fields, text.slice(start)];
}

/** Parses a refusal code. An unknown code becomes `failed`, which does not guarantee that the statement had no effect. */
export function parseRefusal(code: string): statement.Refusal {
	return refusalsByCode.get(code) ?? 'failed';
}

/**
Formats a complete reply to a caller.

@example
```
line.formatReply(statement.success('none')); //=> 'COMPLETE -\r\nREADY I -\r\n'
```
*/
export function formatReply(reply: statement.Reply): string {
	const rows = reply.rows.map(row => `DATAROW ${row}\r\n`).join('');
	const end = reply.refusal === null ? `COMPLETE ${reply.signature}\r\n` : formatError(reply.refusal, reply.message);
	return `${rows}${end}${formatReady(reply.state)}`;
}

/** Formats an error line. Line breaks in the message become spaces. */
export function formatError(refusal: statement.Refusal, message: string): string {
	return `ERROR ${refusalCodes[refusal]} ${message.replaceAll(/[\r\n]/gv, ' ')}\r\n`;
}

/** Formats the line that ends a reply. It carries no position: callers need none, since a session is a connection. */
export function formatReady(state: types.TransactionState): string {
	return `READY ${stateCodes[state]} -\r\n`;
}

/** Parses a READY line; returns `undefined` if it is malformed. */
export function parseReady(text: string): Pick<statement.Reply, 'state' | 'position'> | undefined {
	const [command, stateCode, positionText] = text.split(' ');
	const state = statesByCode.get(stateCode ?? '');
	return command === 'READY' && state !== undefined
		? {state, position: parsePosition(positionText ?? '')}
		: undefined;
}

/** Parses a position in the form TERM.INDEX; returns null for `-` and for malformed text. */
export function parsePosition(text: string): statement.Position | null {
	const match = /^(?<term>\d{1,15})\.(?<index>\d{1,15})$/v.exec(text);
	return match?.groups ? {term: Number(match.groups.term), index: Number(match.groups.index)} : null;
}

/**
Parses the row of a status reply: role, term, received position, held term, lag in ms, and two unused counts.

Errors: `not-run` if the row is malformed.
*/
export function parseStatus(row: string | undefined, server: string): errors.Outcome<statement.ServerStatus> {
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

const accessModes: Readonly<Record<string, types.AccessMode>> = {READ: 'read', WRITE: 'write'};

/** Parsers of statements by their first word; they return `undefined` if the rest is malformed. */
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
		const [, name, modeName, shape] = split(text, 3);
		const mode = accessModes[modeName ?? ''];
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

/** Parses a statement of a caller. Text that is not a valid statement has kind `unknown`. */
export function parseStatement(text: string): statement.Statement {
	const [word = ''] = split(text, 1);
	const parse = Object.hasOwn(parsers, word) ? parsers[word] : undefined;
	return parse?.(text) ?? {kind: 'unknown'};
}

/** Formats a command to a backend server. */
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
			return formatQuery('-', `${formatMinPosition(command.minPosition)}BEGIN READ`);
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
			return formatQuery(command.id, `${formatMinPosition(command.minPosition)}${command.text}`);
		}

		case 'execute': {
			return formatQuery(command.id, `${formatMinPosition(command.minPosition)}EXECUTE ${command.name} ${command.parameters}`);
		}
	}
}

function formatQuery(id: string, text: string): string {
	return `QUERY ${id} ${text}\r\n`;
}

function formatMinPosition(minPosition: statement.Position | null): string {
	return minPosition === null ? '' : `MINLSN ${minPosition.term}.${minPosition.index} `;
}
