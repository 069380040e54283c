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

/** The commands. Only the module of the one that is named is loaded, since a host starts on a fraction of a core. */
const modules = {
	host: async () => import('./host.js'),
	entry: async () => import('./entry.js'),
	check: async () => import('./check.js'),
	diff: async () => import('./diff.js'),
	apply: async () => import('./apply.js'),
	show: async () => import('./show.js'),
	status: async () => import('./status.js'),
	drain: async () => import('./drain.js'),
	load: async () => import('./load.js'),
	standin: async () => import('./standin.js'),
};

const words = helpers.hideBin(process.argv);
const named = Object.entries(modules).filter(([name]) => name === words[0]);
const wanted = named.length > 0 ? named : Object.entries(modules);
const commands = await Promise.all(wanted.map(async ([, load]) => load()));

await yargs(words)
	.scriptName('sycamorering')
	.usage('$0 <command> [options]')
	.command(commands.map(({command}) => command as types.CommandModule))
	.demandCommand(1, 'Name a command.')
	.recommendCommands()
	.strict()
	.exitProcess(true)
	.fail((message: string | null, error: Error | undefined) => {
		// Wrong usage has a message for its user; an exception of a handler has none and is a defect.
		const isUsage = message !== null && message !== '';
		console.error(isUsage ? `${message}\n\nRun the command with --help for its options.` : error?.stack);
		process.exit(isUsage ? exit.codes.usage : exit.codes.failure);
	})
	.wrap(helpWidth)
	.help()
	.parseAsync();
