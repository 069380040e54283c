/**
`sycamorering apply`: applies a configuration.
*/
import * as Either from 'fp-ts/lib/Either.js';
import type * as yargs from 'yargs';
import * as clock from '../core/clock.js';
import * as publish from '../operator/publish.js';
import * as exit from './exit.js';
import * as input from './input.js';
import * as platform from './platform.js';

type Arguments = platform.Arguments & {file: string; expect: number};

export const command: yargs.CommandModule<unknown, Arguments> = {
	command: 'apply <file>',
	describe: 'Apply a configuration if the current version is the expected one',
	builder: parser => parser
		.positional('file', {type: 'string', demandOption: true, describe: 'INI file'})
		.option('expect', {type: 'number', demandOption: true, describe: 'Current version, as printed by show or diff; 0 if there is none'})
		.options(platform.options)
		.check(platform.verify)
		.check(({expect}) => {
			if (!Number.isSafeInteger(expect) || expect < 0) {
				throw new Error('--expect must be a version: an integer of 0 or more');
			}

			return true;
		})
		.example('$0 apply site.ini --expect 7 --platform http://10.0.0.9:7000/', 'Replace version 7; exit code 3 if another operator has already changed it'),
	handler: run,
};

async function run({file, expect, platform: url, json}: Arguments): Promise<void> {
	const text = await input.read(file);
	if (Either.isLeft(text)) {
		exit.report(text.left, json);
		return;
	}

	const outcome = await publish.apply({platform: platform.open(url), clock: new clock.System()}, {text: text.right, file}, expect);
	if (Either.isLeft(outcome)) {
		exit.report(outcome.left, json);
		return;
	}

	const {version, confirmation} = outcome.right;
	const note = confirmation === 'answer' ? '' : '; the store\'s response was lost, and reading back confirmed the change';
	console.log(json ? JSON.stringify(outcome.right) : `version ${version} is applied${note}`);
}
