/**
A session's values and prepared statements, and the commands that apply them to a server connection.

On a server connection, a prepared statement has a generated name for its mode and shape. Sessions thus share equal
statements, the names that callers choose can't collide, and no text of a caller becomes part of a command's grammar.
*/
import * as Either from 'fp-ts/lib/Either.js';
import type * as types from '../generated/types.js';
import type * as errors from '../core/errors.js';
import type * as backend from './backend.js';
import type * as statement from './statement.js';

/** A statement prepared by a session. */
export type Prepared = {readonly mode: types.AccessMode; readonly shape: string};

/** Timeout of commands that only change a connection's state. */
const applyTimeoutMs = 800;

/** The state of one session. */
export class State {
	readonly values = new Map<string, string>();
	readonly prepared = new Map<string, Prepared>();

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
}

/** The name of a statement that was prepared on a connection; empty if it wasn't. */
export function preparedName(connection: backend.Connection, prepared: Prepared): string {
	return connection.prepared.get(keyOf(prepared)) ?? '';
}

function keyOf({mode, shape}: Prepared): string {
	return `${mode} ${shape}`;
}

/** Whether every command of `applyTo` succeeded. */
export async function isApplied(outcomes: ReadonlyArray<Promise<errors.Outcome<statement.Reply>>>): Promise<boolean> {
	const settled = await Promise.all(outcomes);
	return settled.every(outcome => Either.isRight(outcome) && outcome.right.refusal === null);
}
