/**
`sycamorering host`: runs an entry host.
*/
import process from 'node:process';
import * as Either from 'fp-ts/lib/Either.js';
import type * as yargs from 'yargs';
import type * as errors from '../core/errors.js';
import * as settings from '../core/settings.js';
import * as entryHost from '../host/host.js';
import * as log from '../host/log.js';
import type * as types from '../generated/types.js';
import * as http from '../store/http.js';
import * as exit from './exit.js';
import * as input from './input.js';

type Arguments = {settings: string};

export const command: yargs.CommandModule<unknown, Arguments> = {
	command: 'host',
	describe: 'Run an entry host until SIGTERM, which drains it',
	builder: parser => parser
		.option('settings', {
			type: 'string', demandOption: true, describe: 'INI file with the settings of this host',
		})
		.example('$0 host --settings entry-1.ini', 'Run the host that entry-1.ini describes'),
	handler: run,
};

async function run({settings: file}: Arguments): Promise<void> {
	const outcome = await loadSettings(file);
	if (Either.isLeft(outcome)) {
		exit.report(outcome.left);
		return;
	}

	const parsed = outcome.right;
	const logger = log.create(parsed.log.level, {host: parsed.host.name, place: parsed.host.place});
	const host = new entryHost.Host(parsed, new http.Store(parsed.platform), logger);
	process.once('SIGTERM', () => {
		void host.drain();
	});
	process.once('SIGINT', () => {
		void host.stop();
	});
	await host.start();
}

async function loadSettings(file: string): Promise<errors.Outcome<types.Settings>> {
	const text = await input.read(file);
	return Either.isLeft(text) ? text : settings.parseSettings(text.right, file);
}
