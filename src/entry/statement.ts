/**
Callers' statements, commands to backend servers, and their replies.
*/
import type * as types from '../generated/types.js';

export type Statement = types.Statement;
export type Reply = types.Reply;
export type Refusal = types.Refusal;
export type ServerStatus = types.ServerStatus;
export type Position = types.Position;

/** A caller's request: one statement and the caller's id for it. */
export type Request = {readonly id: string; readonly statement: Statement};

/**
A command to a backend server. `forward` and `execute` carry a caller's statement under the caller's id; the proxy itself
issues all other commands. A server whose log does not contain `minPosition` refuses the command with `lagging`.
*/
export type Command =
	| {readonly kind: 'reset' | 'begin' | 'rollback' | 'status' | 'resume'}
	| {readonly kind: 'begin-read'; readonly minPosition: Position | null}
	| {readonly kind: 'set'; readonly name: string; readonly value: string}
	| {readonly kind: 'prepare'; readonly name: string; readonly mode: types.AccessMode; readonly shape: string}
	| {readonly kind: 'pause' | 'step-down'; readonly term: number}
	| {readonly kind: 'forward'; readonly id: string; readonly text: string; readonly minPosition: Position | null}
	| {readonly kind: 'execute'; readonly id: string; readonly name: string; readonly parameters: string; readonly minPosition: Position | null};

/** Signature of replies that come from the proxy and not from a backend server. */
export const proxySignature = '-';

/**
A successful reply without rows from the proxy itself.

@example
```
caller.reply(statement.success('none'));
```
*/
export function success(state: types.TransactionState): Reply {
	return {
		rows: [], signature: proxySignature, refusal: null, message: '', state, position: null,
	};
}

/**
A refusal by the proxy itself.

@example
```
caller.reply(statement.refuse('busy', 'no connection is free', 'none'));
```
*/
export function refuse(refusal: Refusal, message: string, state: types.TransactionState): Reply {
	return {
		rows: [], signature: proxySignature, refusal, message, state, position: null,
	};
}

/** Refusals that guarantee that the statement did not run, so that a retry is safe. */
const notRunRefusals: ReadonlySet<Refusal> = new Set(['busy', 'lagging', 'read-only', 'not-prepared', 'wrong-server', 'connection-limit']);

/** Whether a server's reply guarantees that the statement did not run. */
export function isNotRun({refusal}: Reply): boolean {
	return refusal !== null && notRunRefusals.has(refusal);
}
