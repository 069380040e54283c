/**
Puts a configuration into the platform's store, and reads the present one.
*/
import * as Either from 'fp-ts/lib/Either.js';
import type * as clock from '../core/clock.js';
import * as errors from '../core/errors.js';
import * as settings from '../core/settings.js';
import type * as types from '../generated/types.js';
import type * as store from '../store/store.js';

/** An applied configuration: its version, and how the store's answer was had. */
export type Applied = {readonly version: number; readonly confirmation: 'answer' | 'read-back'};

/** Name of the store's object that holds the configuration. */
export const key = 'configuration';

/** The platform's store takes values up to this size. */
const limitBytes = 1_000_000;
const readBackAttempts = 3;
const readBackPauseMs = 300;

/**
Checks a configuration text as entry hosts do.

Errors: `settings`, with file, line, section and key of each fault, or when the text is larger than the store takes.

@example
```
const outcome = publish.check(text, 'site.ini');
```
*/
export function check(text: string, file: string): errors.Outcome<types.Configuration> {
	const size = new TextEncoder().encode(text).length;
	return size > limitBytes
		? errors.fail('settings', 'configure', file, `${file}:1: the text has ${size} bytes; the platform's store takes ${limitBytes}`)
		: settings.parseConfiguration(text, file);
}

/**
Reads the present configuration; version 0 and an empty text if there is none.

Errors: `store`.

@example
```
const outcome = await publish.show(platform);
```
*/
export async function show(platform: store.Store): Promise<errors.Outcome<store.Entry>> {
	return Either.mapLeft((failure: errors.Failure): errors.Failure => ({
		...failure, message: `the platform's store gave no answer (${failure.message}); entry hosts go on with the configuration that they hold`,
	}))(await platform.read(key));
}

/**
Applies a configuration if the present version is `expected`; 0 stands for none. A lost answer is settled by reading
back.

Errors: `settings` for an invalid text, which is not sent; `conflict` when another operator was first; `store` and
`outcome-unknown` when the store's answer was lost and reading back did not show the text, with what was found.

@example
```
const outcome = await publish.apply({platform, clock: new clock.System()}, {text, file: 'site.ini'}, 7);
if (Either.isRight(outcome)) {
	console.log(`version ${outcome.right.version} is applied`);
}
```
*/
export async function apply(
	parts: {readonly platform: store.Store; readonly clock: clock.Clock},
	wanted: {readonly text: string; readonly file: string},
	expected: number,
): Promise<errors.Outcome<Applied>> {
	const checked = check(wanted.text, wanted.file);
	if (Either.isLeft(checked)) {
		return checked;
	}

	const outcome = await parts.platform.update(key, wanted.text, expected);
	if (Either.isRight(outcome)) {
		return Either.right({version: outcome.right.version, confirmation: 'answer'});
	}

	const found = await readBack(parts);
	if (outcome.left.kind === 'conflict') {
		return Either.left({...outcome.left, message: describeConflict(wanted.text, expected, found)});
	}

	return Either.isLeft(found)
		? Either.left({...outcome.left, message: describeOutage(outcome.left, expected)})
		: settle(outcome.left, wanted.text, expected, found.right);
}

async function readBack({platform, clock: time}: {readonly platform: store.Store; readonly clock: clock.Clock}): Promise<errors.Outcome<store.Entry>> {
	let outcome = await platform.read(key);
	for (let attempt = 1; attempt < readBackAttempts && Either.isLeft(outcome); attempt++) {
		await time.sleep(readBackPauseMs);
		outcome = await platform.read(key);
	}

	return outcome;
}

function describeConflict(text: string, expected: number, found: errors.Outcome<store.Entry>): string {
	if (Either.isLeft(found)) {
		return `the present version is not ${expected}, and could not be read`;
	}

	const {version, value} = found.right;
	return value === text
		? `expected version ${expected}, but version ${version} is present and holds this very text; nothing is left to apply`
		: `expected version ${expected}, but version ${version} is present and holds another text; compare by diff before you apply`;
}

function describeOutage({message}: errors.Failure, expected: number): string {
	return [
		`the platform's store gave no answer (${message}) and could not be read back; whether the configuration was applied is not known`,
		'entry hosts go on with the one that they hold',
		`when the store is back, apply again and expect version ${expected}, which is safe to repeat`,
	].join('; ');
}

/** What the present entry says about an update whose answer was lost. */
function settle(lost: errors.Failure, text: string, expected: number, {version, value}: store.Entry): errors.Outcome<Applied> {
	const isOurs = value === text;
	if (version === expected + 1 && isOurs) {
		return Either.right({version, confirmation: 'read-back'});
	}

	const say = (kind: errors.Kind, ...parts: string[]): errors.Outcome<never> => Either.left({
		...lost, kind, message: [`the store's answer was lost (${lost.message}); version ${version} is present`, ...parts].join(', '),
	});
	if (version === expected) {
		return say(
			'store',
			'so the configuration is not applied, but the lost request may yet arrive',
			`apply again and expect version ${expected}: only one of the two can take effect`,
		);
	}

	if (version < expected) {
		return say('conflict', `which is older than the expected ${expected}`, 'so the configuration was not applied');
	}

	return version === expected + 1
		? say('conflict', 'and holds another text', 'so the configuration was not applied and can not be any more')
		: say('outcome-unknown', `and holds ${isOurs ? 'this very text' : 'another text'}`, `the configuration may have been version ${expected + 1} and been replaced since`);
}
