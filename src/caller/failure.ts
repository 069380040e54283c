/**
What a caller is told when a statement gives no answer, as a tagged union.
*/
import type * as Either from 'fp-ts/lib/Either.js';

/**
A failure by `kind`:

- `not-run`: the statement did not run and will not; it may be sent again.
- `outcome-unknown`: it may have run. `requestId` is the id under which it may be sent again without running twice;
  empty if it was sent without one.
- `database`: the database's own error, with its code; the statement changed nothing.
- `position-lost`: writes that the session had seen were lost in a failover.
- `directive`: something said about the statement is malformed, or the statement is not supported.
- `denied`: wrong account or password.
*/
export type Failure =
	| {readonly kind: 'not-run'; readonly message: string}
	| {readonly kind: 'outcome-unknown'; readonly message: string; readonly requestId: string}
	| {readonly kind: 'database'; readonly message: string; readonly code: number}
	| {readonly kind: 'position-lost'; readonly message: string}
	| {readonly kind: 'directive'; readonly message: string}
	| {readonly kind: 'denied'; readonly message: string};

export type Outcome<T> = Either.Either<Failure, T>;

/**
What one attempt at one entry host came to. `lost` means that the connection ended or went silent after the statement
was sent. `settled` is a `not-run` that covers every attempt under the same request id.
*/
export type Miss =
	| {readonly kind: 'lost'; readonly message: string}
	| {readonly kind: 'not-run'; readonly message: string; readonly isSettled: boolean}
	| Exclude<Failure, {kind: 'not-run'}>;

type DriverError = {readonly errno?: number; readonly sqlState?: string; readonly fatal?: boolean; readonly message?: string};

const accessDenied = 1045;
const describedPattern = /^(?<kind>not-run|outcome-unknown|position-lost|directive|denied): .*\(step (?<step>[a-z]+)(?:, peer .*)?\)$/sv;
/** The codes that entry hosts send with each kind, so that no text of a database error passes for one. */
const codes: Readonly<Record<string, number>> = {
	'not-run': 1205, 'outcome-unknown': 1180, 'position-lost': 1792, directive: 1231, denied: accessDenied,
};

/**
Reads an error of mysql2's client.

@example
```
try {
	await connection.query(sql);
} catch (error) {
	const miss = failure.read(error, requestId);
}
```
*/
export function read(error: unknown, requestId: string): Miss {
	const {errno = 0, sqlState, fatal = false, message = String(error)} = error as DriverError;
	if (sqlState === undefined && !isFromHost(error)) {
		return {kind: 'lost', message};
	}

	const {kind = '', step = ''} = describedPattern.exec(message)?.groups ?? {};
	if (codes[kind] !== errno) {
		return errno === accessDenied && fatal ? {kind: 'denied', message} : {kind: 'database', message, code: errno};
	}

	switch (kind) {
		case 'not-run': {
			return {kind, message, isSettled: step === 'settle'};
		}

		case 'outcome-unknown': {
			return {kind, message, requestId};
		}

		default: {
			return {kind: kind as 'position-lost' | 'directive' | 'denied', message};
		}
	}
}

/** An error packet without SQL state, as a host sends before the handshake is complete, still has a code of the server. */
function isFromHost(error: unknown): boolean {
	const {errno = 0} = error as DriverError;
	return errno >= 1000;
}
