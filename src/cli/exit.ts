/**
Exit codes and failure output of the commands.
*/
import process from 'node:process';
import * as errors from '../core/errors.js';

/** Exit codes for scripts. */
export const codes = {
	success: 0, failure: 1, usage: 2, conflict: 3,
} as const;

/**
Prints a failure to standard error and sets the exit code for its kind. With `isJson`, prints the failure as JSON to
standard output instead.
*/
export function report(failure: errors.Failure, isJson = false): void {
	if (isJson) {
		console.log(JSON.stringify({failure}));
	} else {
		console.error(errors.describe(failure));
	}

	process.exitCode = codeOf(failure.kind);
}

function codeOf(kind: errors.Kind): number {
	if (kind === 'settings') {
		return codes.usage;
	}

	return kind === 'conflict' ? codes.conflict : codes.failure;
}
