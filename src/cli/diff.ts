/**
`sycamorering diff`: shows what applying a configuration would change.
*/
import * as Either from 'fp-ts/lib/Either.js';
import type * as yargs from 'yargs';
import * as change from '../operator/change.js';
import * as publish from '../operator/publish.js';
import * as exit from './exit.js';
import * as input from './input.js';
import * as platform from './platform.js';

type Arguments = platform.Arguments & {file: string};

export const command: yargs.CommandModule<unknown, Arguments> = {
	command: 'diff <file>',
	describe: 'Show what applying a configuration would change; passwords and hashes are hidden',
	builder: parser => parser
		.positional('file', {type: 'string', demandOption: true, describe: 'INI file'})
		.options(platform.options)
		.check(platform.verify)
		.example('$0 diff site.ini --platform http://10.0.0.9:7000/', 'Compare with the current version'),
	handler: run,
};

async function run({file, platform: url, json}: Arguments): Promise<void> {
	const text = await input.read(file);
	if (Either.isLeft(text)) {
		exit.report(text.left, json);
		return;
	}

	const current = await publish.show(platform.open(url));
	if (Either.isLeft(current)) {
		exit.report(current.left, json);
		return;
	}

	const {version, value} = current.right;
	const outcome = change.diff({text: value, file: `version ${version}`}, {text: text.right, file});
	if (Either.isLeft(outcome)) {
		exit.report(outcome.left, json);
	} else if (json) {
		console.log(JSON.stringify({version, changes: outcome.right}));
	} else {
		console.log(outcome.right.length === 0 ? `no difference from version ${version}` : `${change.describe(outcome.right)}\ncompared with version ${version}`);
	}
}
