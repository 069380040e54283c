/**
Expected failures, as data. They carry the step and the peer at which they arose, and stay data until the edge
formats them.
*/
import * as Either from 'fp-ts/lib/Either.js';
import type * as types from '../generated/types.js';

export type Failure = types.Failure;
export type Kind = types.FailureKind;
export type Step = types.Step;

/** The outcome of an operation that may fail in an expected way. */
export type Outcome<T> = Either.Either<Failure, T>;

/**
Makes a failure.

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
Makes the failed side of an outcome.

@example
```
return errors.fail('not-run', 'connect', 'ledgers-a', 'connection refused');
```
*/
export function fail(kind: Kind, step: Step, peer: string, message: string): Either.Either<Failure, never> {
	return Either.left(failure(kind, step, peer, message));
}

/**
An error that a backend server answered with, and its MySQL code.

@example
```
return Either.left(errors.database('ledgers-a', 'Duplicate entry', 1062));
```
*/
export function database(server: string, message: string, code: number): Failure {
	return {...failure('database', 'receive', server, message), code};
}

/**
Whether the failure says that the request did not run.

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
One line for logs and error packets.

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
