/**
`sycamorering entry`: runs an entry host on the users' platform.
*/
import process from 'node:process';
import type * as yargs from 'yargs';
import * as processes from './process.js';

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
	async handler({settings}) {
		await processes.run(settings);
	},
};
