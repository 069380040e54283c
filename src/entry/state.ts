/**
A session's values and prepared statements, and the commands that apply them to a server connection.

On a server connection, a prepared statement has a generated name for its mode and shape. Sessions thus share equal
statements, the names that callers choose can't collide, and no text of a caller becomes part of a command's grammar.
*/
import * as Either from 'fp-ts/lib/Either.js';
import type * as types from '../generated/types.js';
import type * as errors from '../core/errors.js';
import * as keeping from '../intake/keeping.js';
import type * as backend from './backend.js';
import type * as statement from './statement.js';

/** A statement prepared by a session. */
export type Prepared = {readonly mode: types.AccessMode; readonly shape: string};

/** Timeout of commands that only change a connection's state. */
const applyTimeoutMs = 800;

/** Entries and bytes of values and prepared statements that an idle connection keeps; a host may have 300 connections. */
const maxKeptEntries = 256;
const maxKeptBytes = 131_072;

/** The state of one session. */
export class State {
	readonly values = new Map<string, string>();
	readonly prepared = new Map<string, Prepared>();
	#bytes = 0;

	/** Copies the values for attempts that may still run after the session has its reply and sets other values. */
	copy(): State {
		const copied = new State();
		copied.setValues([...this.values]);
		return copied;
	}

	/** Replaces all values by those of a session that another host serves. */
	setValues(values: ReadonlyArray<readonly [string, string]>): void {
		this.values.clear();
		for (const [name, value] of values) {
			this.values.set(name, value);
		}
	}

	/** Size of what the session keeps. */
	get size(): keeping.Size {
		return {bytes: this.#bytes, entries: this.values.size + this.prepared.size};
	}

	/** Sets a value unless `mayKeep` refuses the size that the state would have; returns whether it was set. */
	setValue(name: string, value: string, mayKeep: (size: keeping.Size) => boolean): boolean {
		const replaced = this.values.get(name);
		const isSet = this.#reserve(name, value, replaced, mayKeep);
		if (isSet) {
			this.values.set(keeping.detach(name), keeping.detach(value));
		}

		return isSet;
	}

	/** Keeps a prepared statement unless `mayKeep` refuses the size that the state would have; returns whether it was kept. */
	prepare(name: string, {mode, shape}: Prepared, mayKeep: (size: keeping.Size) => boolean): boolean {
		const isKept = this.#reserve(name, shape, this.prepared.get(name)?.shape, mayKeep);
		if (isKept) {
			this.prepared.set(keeping.detach(name), {mode, shape: keeping.detach(shape)});
		}

		return isKept;
	}

	/** Removes a prepared statement. */
	deallocate(name: string): void {
		const removed = this.prepared.get(name);
		if (removed) {
			this.prepared.delete(name);
			this.#bytes -= keeping.measure(name, removed.shape);
		}
	}

	/** Whether this session can use a connection without a reset. */
	isCompatible(connection: backend.Connection): boolean {
		for (const [name, value] of connection.values) {
			if (this.values.get(name) !== value) {
				return false;
			}
		}

		return true;
	}

	/**
	Applies this state to a connection, in the same write as the next command. Returns the outcome of each command; after
	a failure the connection must be closed.
	*/
	applyTo(connection: backend.Connection, prepared: Prepared | undefined): Array<Promise<errors.Outcome<statement.Reply>>> {
		const commands: statement.Command[] = [];
		if ([...connection.values.keys()].some(name => !this.values.has(name))) {
			commands.push({kind: 'reset'});
			connection.values.clear();
			connection.prepared.clear();
		}

		for (const [name, value] of this.values) {
			if (connection.values.get(name) !== value) {
				commands.push({kind: 'set', name, value});
				connection.values.set(name, value);
			}
		}

		if (prepared && !connection.prepared.has(keyOf(prepared))) {
			const name = connection.createPreparedName();
			commands.push({kind: 'prepare', name, ...prepared});
			connection.prepared.set(keyOf(prepared), name);
		}

		return commands.map(async command => connection.send(command, applyTimeoutMs));
	}

	#reserve(name: string, text: string, replaced: string | undefined, mayKeep: (size: keeping.Size) => boolean): boolean {
		const bytes = this.#bytes + keeping.measure(name, text) - (replaced === undefined ? 0 : keeping.measure(name, replaced));
		const isAllowed = mayKeep({bytes, entries: this.size.entries + (replaced === undefined ? 1 : 0)});
		this.#bytes = isAllowed ? bytes : this.#bytes;
		return isAllowed;
	}
}

/** The name of a statement that was prepared on a connection; empty if it wasn't. */
export function preparedName(connection: backend.Connection, prepared: Prepared): string {
	return connection.prepared.get(keyOf(prepared)) ?? '';
}

/**
Whether a connection keeps so much for the sessions that used it that it should be reset. Otherwise sessions that prepare
ever new statements would fill the memory of this host and of the server.
*/
export function isOverfull({values, prepared}: backend.Connection): boolean {
	if (values.size + prepared.size > maxKeptEntries) {
		return true;
	}

	let bytes = 0;
	for (const [name, text] of [...values, ...prepared]) {
		bytes += name.length + text.length;
	}

	return bytes > maxKeptBytes;
}

function keyOf({mode, shape}: Prepared): string {
	return `${mode} ${shape}`;
}

/** Whether every command of `applyTo` succeeded. */
export async function isApplied(outcomes: ReadonlyArray<Promise<errors.Outcome<statement.Reply>>>): Promise<boolean> {
	const settled = await Promise.all(outcomes);
	return settled.every(outcome => Either.isRight(outcome) && outcome.right.refusal === null);
}
