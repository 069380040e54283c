/**
Writes configurations to the platform's store and reads the current one.
*/
import * as Either from 'fp-ts/lib/Either.js';
import type * as clock from '../core/clock.js';
import * as errors from '../core/errors.js';
import * as settings from '../core/settings.js';
import type * as types from '../generated/types.js';
import type * as store from '../store/store.js';

/** An applied configuration: its version, and whether the store's response or reading back confirmed it. */
export type Applied = {readonly version: number; readonly confirmation: 'answer' | 'read-back'};

/** Key of the configuration in the platform's store. */
export const key = 'configuration';

/** Size limit of a value in the platform's store. */
const maxBytes = 1_000_000;
const readBackAttempts = 3;
const readBackPauseMs = 300;

/**
Validates a configuration in the same way as entry hosts.

Errors: `settings`, with the file, line, section and key of each problem, or if the text exceeds the size limit of the store.

@example
```
const outcome = publish.check(text, 'site.ini');
```
*/
export function check(text: string, file: string): errors.Outcome<types.Configuration> {
	const size = new TextEncoder().encode(text).length;
	return size > maxBytes
		? errors.fail('settings', 'configure', file, `${file}:1: the configuration has ${size} bytes; the platform's store accepts at most ${maxBytes}`)
		: settings.parseConfiguration(text, file);
}

/**
Reads the current configuration; version 0 and an empty text if there is none.

Errors: `store`.

@example
```
const outcome = await publish.show(platform);
```
*/
export async function show(platform: store.Store): Promise<errors.Outcome<store.Entry>> {
	return Either.mapLeft((failure: errors.Failure): errors.Failure => ({
		...failure, message: `the platform's store gave no answer (${failure.message}); entry hosts keep their current configuration`,
	}))(await platform.read(key));
}

/**
Applies a configuration if the current version is `expectedVersion`, which is 0 if there is none. If the store's response
is lost, the configuration is read back to determine the outcome.

Errors: `settings` for an invalid configuration, which is not sent; `conflict` if another operator has changed the
configuration; `store` and `outcome-unknown` if the store's response was lost and reading back did not confirm the change.
The message says what was read.

@example
```
const outcome = await publish.apply({platform, clock: new clock.System()}, {text, file: 'site.ini'}, 7);
if (Either.isRight(outcome)) {
	console.log(`version ${outcome.right.version} is applied`);
}
```
*/
export async function apply(
	options: {readonly platform: store.Store; readonly clock: clock.Clock},
	configuration: {readonly text: string; readonly file: string},
	expectedVersion: number,
): Promise<errors.Outcome<Applied>> {
	const checked = check(configuration.text, configuration.file);
	if (Either.isLeft(checked)) {
		return checked;
	}

	const outcome = await options.platform.update(key, configuration.text, expectedVersion);
	if (Either.isRight(outcome)) {
		return Either.right({version: outcome.right.version, confirmation: 'answer'});
	}

	const current = await readBack(options);
	if (outcome.left.kind === 'conflict') {
		return Either.left({...outcome.left, message: describeConflict(configuration.text, expectedVersion, current)});
	}

	return Either.isLeft(current)
		? Either.left({...outcome.left, message: describeOutage(outcome.left, expectedVersion)})
		: resolveLostResponse(outcome.left, configuration.text, expectedVersion, current.right);
}

async function readBack({platform, clock: time}: {readonly platform: store.Store; readonly clock: clock.Clock}): Promise<errors.Outcome<store.Entry>> {
	let outcome = await platform.read(key);
	for (let attempt = 1; attempt < readBackAttempts && Either.isLeft(outcome); attempt++) {
		await time.sleep(readBackPauseMs);
		outcome = await platform.read(key);
	}

	return outcome;
}

function describeConflict(text: string, expectedVersion: number, current: errors.Outcome<store.Entry>): string {
	if (Either.isLeft(current)) {
		return `the current version is not ${expectedVersion} and could not be read`;
	}

	const {version, value} = current.right;
	return value === text
		? `expected version ${expectedVersion}, but version ${version} is present and holds this very text; there is nothing to apply`
		: `expected version ${expectedVersion}, but version ${version} is present and holds another text; compare with diff before applying`;
}

function describeOutage({message}: errors.Failure, expectedVersion: number): string {
	return [
		`the platform's store gave no answer (${message}) and could not be read back; whether the configuration was applied is not known`,
		'entry hosts keep their current configuration',
		`when the store is available again, apply with expected version ${expectedVersion}, which is safe to repeat`,
	].join('; ');
}

/** Determines, from the current version and text, the outcome of an update whose response was lost. */
function resolveLostResponse(lost: errors.Failure, text: string, expectedVersion: number, {version, value}: store.Entry): errors.Outcome<Applied> {
	const isSameText = value === text;
	if (version === expectedVersion + 1 && isSameText) {
		return Either.right({version, confirmation: 'read-back'});
	}

	const fail = (kind: errors.Kind, ...details: string[]): errors.Outcome<never> => Either.left({
		...lost, kind, message: [`the store's response was lost (${lost.message}); version ${version} is present`, ...details].join(', '),
	});
	if (version === expectedVersion) {
		return fail(
			'store',
			'so the configuration is not applied, but the lost request may yet arrive',
			`apply again with expected version ${expectedVersion}: only one of the two requests can take effect`,
		);
	}

	if (version < expectedVersion) {
		return fail('conflict', `which is older than the expected ${expectedVersion}`, 'so the configuration was not applied');
	}

	return version === expectedVersion + 1
		? fail('conflict', 'and holds another text', 'so the configuration was not applied and can no longer be applied')
		: fail('outcome-unknown', `and holds ${isSameText ? 'this very text' : 'another text'}`, `the configuration may have been version ${expectedVersion + 1} and been replaced since`);
}
