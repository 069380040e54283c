#!/usr/bin/env node
/**
The `sycamorering` command.
*/
import process from 'node:process';
import yargs from 'yargs';
import * as helpers from 'yargs/helpers';
import * as apply from './apply.js';
import * as check from './check.js';
import * as diff from './diff.js';
import * as drain from './drain.js';
import * as exit from './exit.js';
import * as host from './host.js';
import * as load from './load.js';
import * as show from './show.js';
import * as standin from './standin.js';
import * as status from './status.js';

const helpWidth = 120;

await yargs(helpers.hideBin(process.argv))
	.scriptName('sycamorering')
	.usage('$0 <command> [options]')
	.command(host.command)
	.command(check.command)
	.command(diff.command)
	.command(apply.command)
	.command(show.command)
	.command(status.command)
	.command(drain.command)
	.command(load.command)
	.command(standin.command)
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
