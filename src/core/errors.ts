/**
Expected failures, as values. A failure names the step and the peer at which it occurred, and is formatted only where it
leaves the process.
*/
import * as Either from 'fp-ts/lib/Either.js';
import type * as types from '../generated/types.js';

export type Failure = types.Failure;
export type Kind = types.FailureKind;
export type Step = types.Step;

/** The result of an operation: a value, or an expected failure. */
export type Outcome<T> = Either.Either<Failure, T>;

/**
Creates a failure.

@example
```
errors.failure('not-run', 'admit', 'balance', 'the queue of class balance is full');
```
*/
export function failure(kind: Kind, step: Step, peer: string, message: string): Failure {
	return {
		kind, step, peer, message, code: 0,
	};
}

/**
Creates a failed outcome.

@example
```
return errors.fail('not-run', 'connect', 'ledgers-a', 'connection refused');
```
*/
export function fail(kind: Kind, step: Step, peer: string, message: string): Either.Either<Failure, never> {
	return Either.left(failure(kind, step, peer, message));
}

/**
Creates a failure for an error response of a backend server, with its MySQL error code.

@example
```
return Either.left(errors.database('ledgers-a', 'Duplicate entry', 1062));
```
*/
export function database(server: string, message: string, code: number): Failure {
	return {...failure('database', 'receive', server, message), code};
}

/**
Checks whether the failure guarantees that the request did not run.

@example
```
if (errors.isNotRun(failure)) {
	return tryNextServer();
}
```
*/
export function isNotRun(failure: Failure): boolean {
	return failure.kind !== 'outcome-unknown' && failure.kind !== 'database';
}

/**
Formats a failure as one line for logs and error packets.

@example
```
errors.describe(errors.failure('not-run', 'connect', 'ledgers-a', 'connection refused'));
//=> 'not-run: connection refused (step connect, peer ledgers-a)'
```
*/
export function describe(failure: Failure): string {
	const peer = failure.peer === '' ? '' : `, peer ${failure.peer}`;
	return `${failure.kind}: ${failure.message} (step ${failure.step}${peer})`;
}
