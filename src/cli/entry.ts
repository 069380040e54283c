/**
`sycamorering entry`: runs an entry host on the users' platform.
*/
import process from 'node:process';
import * as Either from 'fp-ts/lib/Either.js';
import type * as yargs from 'yargs';
import * as clock from '../core/clock.js';
import type * as errors from '../core/errors.js';
import * as random from '../core/random.js';
import * as settings from '../core/settings.js';
import * as entry from '../entry/entry.js';
import * as journal from '../entry/journal.js';
import type * as types from '../generated/types.js';
import * as metrics from '../host/metrics.js';
import * as authority from '../platform/authority.js';
import * as backend from '../platform/backend.js';
import * as caller from '../platform/caller.js';
import * as http from '../platform/http.js';
import * as objects from '../platform/objects.js';
import * as exit from './exit.js';
import * as input from './input.js';

type Arguments = {settings: string};

export const command: yargs.CommandModule<unknown, Arguments> = {
	command: 'entry',
	describe: 'Run an entry host on the users\' platform until SIGTERM, which drains it',
	builder: parser => parser
		.option('settings', {
			type: 'string',
			default: process.env.SYCAMORERING_SETTINGS ?? '',
			defaultDescription: 'the file that SYCAMORERING_SETTINGS names',
			describe: 'INI file with the settings of this host',
		})
		.example('$0 entry --settings entry.ini', 'Run the host that entry.ini describes'),
	handler: run,
};

async function run({settings: file}: Arguments): Promise<void> {
	const outcome = await load(file);
	if (Either.isLeft(outcome)) {
		exit.report(outcome.left);
		return;
	}

	const parsed = outcome.right;
	const time = new clock.System();
	const measured = new metrics.Metrics();
	const record = new journal.Journal(parsed.log.level, parsed.host.name, time, measured);
	const clients = [new http.Client(parsed.endpoints.store), new http.Client(parsed.endpoints.authority)] as const;
	const host = new entry.Entry({
		settings: parsed,
		clock: time,
		random: new random.System(),
		decisions: record,
		metrics: measured,
		store: new objects.Objects(clients[0]),
		authority: new authority.Authority(clients[1]),
		connect: registration => new backend.Server(registration, time),
		listener: accept => new caller.Listener(accept),
	});
	process.once('SIGTERM', () => {
		void stop(host, clients);
	});
	// Nothing in the settings changes while a process runs; a file that can't be read is reported.
	process.on('SIGHUP', () => {
		void check(file, record);
	});
	await host.start();
}

async function stop(host: entry.Entry, clients: readonly http.Client[]): Promise<void> {
	await host.drain();
	for (const client of clients) {
		client.close();
	}
}

async function check(file: string, record: journal.Journal): Promise<void> {
	const outcome = await load(file);
	record.record('settings-reloaded', {
		file, result: Either.isRight(outcome) ? 'valid; values apply from the next start' : outcome.left.message,
	});
}

async function load(file: string): Promise<errors.Outcome<types.EntrySettings>> {
	const text = await input.read(file);
	return Either.isLeft(text) ? text : settings.parseEntrySettings(text.right, file);
}
