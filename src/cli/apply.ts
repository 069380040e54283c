/**
`sycamorering apply`: puts a configuration in force.
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
	describe: 'Apply a configuration if the present version is the expected one',
	builder: parser => parser
		.positional('file', {type: 'string', demandOption: true, describe: 'INI file'})
		.option('expect', {type: 'number', demandOption: true, describe: 'Present version, as show or diff prints it; 0 for none'})
		.options(platform.options)
		.check(platform.verify)
		.check(({expect}) => {
			if (!Number.isSafeInteger(expect) || expect < 0) {
				throw new Error('--expect: not a version');
			}

			return true;
		})
		.example('$0 apply site.ini --expect 7 --platform http://10.0.0.9:7000/', 'Replace version 7; exit code 3 if another operator was first'),
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
	const remark = confirmation === 'answer' ? '' : '; the store\'s answer was lost and the change was found by reading back';
	console.log(json ? JSON.stringify(outcome.right) : `version ${version} is applied${remark}`);
}
