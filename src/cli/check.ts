/**
`sycamorering check`: validates a configuration or the settings of a host.
*/
import * as Either from 'fp-ts/lib/Either.js';
import type * as yargs from 'yargs';
import type * as errors from '../core/errors.js';
import * as settings from '../core/settings.js';
import * as publish from '../operator/publish.js';
import * as exit from './exit.js';
import * as input from './input.js';

type Arguments = {file: string; settings: boolean; json: boolean};

export const command: yargs.CommandModule<unknown, Arguments> = {
	command: 'check <file>',
	describe: 'Check a configuration, or the settings of a host',
	builder: parser => parser
		.positional('file', {type: 'string', demandOption: true, describe: 'INI file'})
		.option('settings', {type: 'boolean', default: false, describe: 'Treat the file as settings of a host'})
		.option('json', {type: 'boolean', default: false, describe: 'Print JSON for scripts'})
		.example('$0 check site.ini', 'Check a configuration')
		.example('$0 check --settings entry-1.ini', 'Check the settings of a host'),
	handler: run,
};

async function run({file, settings: isSettings, json}: Arguments): Promise<void> {
	const text = await input.read(file);
	const check = isSettings ? settings.parseSettings : publish.check;
	const outcome: errors.Outcome<unknown> = Either.isLeft(text) ? text : check(text.right, file);
	if (Either.isLeft(outcome)) {
		exit.report(outcome.left, json);
		return;
	}

	console.log(json ? JSON.stringify({file, isValid: true}) : `${file} is valid`);
}
