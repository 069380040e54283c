/**
A session's values and prepared statements, and how a server connection is brought to them.

Names on server connections are made from mode and shape, so that sessions share prepared statements whose names collide.
*/
import * as Either from 'fp-ts/lib/Either.js';
import type * as types from '../generated/types.js';
import type * as errors from '../core/errors.js';
import type * as backend from './backend.js';
import type * as statement from './statement.js';

/** A statement that a session prepared. */
export type Prepared = {readonly mode: types.AccessMode; readonly shape: string};

/** Time in ms for commands that only change a connection's state. */
const adaptTimeoutMs = 800;

/** The state of one session. */
export class State {
	readonly values = new Map<string, string>();
	readonly prepared = new Map<string, Prepared>();

	/** The state as it is now, for work that may go on after the session has been answered. */
	copy(): State {
		const copied = new State();
		copied.assign([...this.values]);
		return copied;
	}

	/** Takes the values of a session that another host serves. */
	assign(values: ReadonlyArray<readonly [string, string]>): void {
		this.values.clear();
		for (const [name, value] of values) {
			this.values.set(name, value);
		}
	}

	/** Whether a connection has nothing to reset before this session uses it. */
	suits(connection: backend.Connection): boolean {
		for (const [name, value] of connection.values) {
			if (this.values.get(name) !== value) {
				return false;
			}
		}

		return true;
	}

	/**
	Brings a connection to this state, in the same write as what is sent next. Gives the outcome of each command; if one
	of them failed, the connection must be closed.
	*/
	adapt(connection: backend.Connection, prepared: Prepared | undefined): Array<Promise<errors.Outcome<statement.Reply>>> {
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

		if (prepared && !connection.prepared.has(serverName(prepared))) {
			commands.push({kind: 'prepare', name: serverName(prepared), ...prepared});
			connection.prepared.add(serverName(prepared));
		}

		return commands.map(async command => connection.send(command, adaptTimeoutMs));
	}
}

/** The name under which a statement is prepared on servers. */
export function serverName({mode, shape}: Prepared): string {
	return `${mode}_${shape}`;
}

/** Whether every command of `adapt` succeeded. */
export async function isAdapted(outcomes: ReadonlyArray<Promise<errors.Outcome<statement.Reply>>>): Promise<boolean> {
	const settled = await Promise.all(outcomes);
	return settled.every(outcome => Either.isRight(outcome) && outcome.right.refusal === null);
}
