/**
Failures that the callers' library returns, as a tagged union.
*/
import type * as Either from 'fp-ts/lib/Either.js';

/**
A failure by `kind`:

- `not-run`: the statement did not run and will not run; it is safe to retry.
- `outcome-unknown`: the statement may have run. A retry under `requestId` does not run it twice; the id is empty if the
  statement was sent without one.
- `database`: an error of the database with its code; the statement changed nothing.
- `position-lost`: writes that the session made or read were lost in a failover.
- `directive`: a directive of the statement is malformed, or the statement is not supported.
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
Failure of one attempt at one entry host. `lost` means that the connection closed or timed out after the statement was
sent. `isSettled` means that none of the attempts under the same request id ran or will run.
*/
export type Miss =
	| {readonly kind: 'lost'; readonly message: string}
	| {readonly kind: 'not-run'; readonly message: string; readonly isSettled: boolean}
	| Exclude<Failure, {kind: 'not-run'}>;

type DriverError = {readonly errno?: number; readonly sqlState?: string; readonly fatal?: boolean; readonly message?: string};

const accessDenied = 1045;
const messagePattern = /^(?<kind>not-run|outcome-unknown|position-lost|directive|denied): .*\(step (?<step>[a-z]+)(?:, peer .*)?\)$/sv;
/** Error codes that entry hosts send with each kind. Checking them avoids taking the text of a database error for a kind. */
const errorCodes: Readonly<Record<string, number>> = {
	'not-run': 1205, 'outcome-unknown': 1180, 'position-lost': 1792, directive: 1231, denied: accessDenied,
};

/**
Converts an error of mysql2's client.

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
	if (sqlState === undefined && !isServerError(error)) {
		return {kind: 'lost', message};
	}

	const {kind = '', step = ''} = messagePattern.exec(message)?.groups ?? {};
	if (errorCodes[kind] !== errno) {
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

/**
Whether the error has a code of the server, which start at 1000. Error packets from before the end of the handshake have
no SQL state.
*/
function isServerError(error: unknown): boolean {
	const {errno = 0} = error as DriverError;
	return errno >= 1000;
}
