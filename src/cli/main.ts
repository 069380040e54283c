#!/usr/bin/env node
/**
The `sycamorering` command.
*/
import process from 'node:process';
import yargs from 'yargs';
import type * as types from 'yargs';
import * as helpers from 'yargs/helpers';
import * as exit from './exit.js';

const helpWidth = 120;

/** Modules of the commands. Only the given command's module is loaded, since a host may start on a fraction of a core. */
const modules = {
	host: async () => import('./host.js'),
	entry: async () => import('./entry.js'),
	check: async () => import('./check.js'),
	diff: async () => import('./diff.js'),
	inspect: async () => import('./inspect.js'),
	apply: async () => import('./apply.js'),
	show: async () => import('./show.js'),
	status: async () => import('./status.js'),
	drain: async () => import('./drain.js'),
	load: async () => import('./load.js'),
	standin: async () => import('./standin.js'),
};

const args = helpers.hideBin(process.argv);
const matching = Object.entries(modules).filter(([name]) => name === args[0]);
const selected = matching.length > 0 ? matching : Object.entries(modules);
const commands = await Promise.all(selected.map(async ([, load]) => load()));

await yargs(args)
	.scriptName('sycamorering')
	.usage('$0 <command> [options]')
	.command(commands.map(({command}) => command as types.CommandModule))
	.demandCommand(1, 'Specify a command.')
	.recommendCommands()
	.strict()
	.exitProcess(true)
	.fail((message: string | null, error: Error | undefined) => {
		// Usage errors have a message. Exceptions of handlers have none; they are defects and are printed with their stack.
		const isUsage = message !== null && message !== '';
		console.error(isUsage ? `${message}\n\nRun the command with --help for its options.` : error?.stack);
		process.exit(isUsage ? exit.codes.usage : exit.codes.failure);
	})
	.wrap(helpWidth)
	.help()
	.parseAsync();
