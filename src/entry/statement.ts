/**
Statements of callers, commands to backend servers and the replies to both.
*/
import type * as types from '../generated/types.js';

export type Statement = types.Statement;
export type Reply = types.Reply;
export type Refusal = types.Refusal;
export type Standing = types.Standing;
export type Position = types.Position;

/** A caller's request: one statement with the id that the caller gave it. */
export type Request = {readonly id: string; readonly statement: Statement};

/**
A command to a backend server. `forward` is a caller's statement under the caller's id; every other command is this
system's own. `floor` is a position that the server's log must contain, else it refuses with `lagging`.
*/
export type Command =
	| {readonly kind: 'reset' | 'begin' | 'rollback' | 'status' | 'resume'}
	| {readonly kind: 'begin-read'; readonly floor: Position | null}
	| {readonly kind: 'set'; readonly name: string; readonly value: string}
	| {readonly kind: 'prepare'; readonly name: string; readonly mode: types.AccessMode; readonly shape: string}
	| {readonly kind: 'pause' | 'step-down'; readonly term: number}
	| {readonly kind: 'forward'; readonly id: string; readonly text: string; readonly floor: Position | null}
	| {readonly kind: 'execute'; readonly id: string; readonly name: string; readonly parameters: string; readonly floor: Position | null};

/** The signature of answers that this system gives itself. */
export const ownSignature = '-';

/**
A reply without rows that this system gives itself.

@example
```
caller.reply(statement.own('none'));
```
*/
export function own(state: types.TransactionState): Reply {
	return {
		rows: [], signature: ownSignature, refusal: null, message: '', state, position: null,
	};
}

/**
A refusal that this system gives itself.

@example
```
caller.reply(statement.refuse('busy', 'no connection is free', 'none'));
```
*/
export function refuse(refusal: Refusal, message: string, state: types.TransactionState): Reply {
	return {
		rows: [], signature: ownSignature, refusal, message, state, position: null,
	};
}

/** Refusals after which the statement surely did not run, so that it may be sent again. */
const notRun: ReadonlySet<Refusal> = new Set(['busy', 'lagging', 'read-only', 'not-prepared', 'wrong-server', 'connection-limit']);

/** Whether a server's reply says that the statement did not run. */
export function isNotRun({refusal}: Reply): boolean {
	return refusal !== null && notRun.has(refusal);
}
