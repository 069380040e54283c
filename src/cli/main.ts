#!/usr/bin/env node
/**
The `sycamorering` command.
*/
import process from 'node:process';
import yargs from 'yargs';
import * as helpers from 'yargs/helpers';
import * as host from './host.js';
import * as standin from './standin.js';

await yargs(helpers.hideBin(process.argv))
	.scriptName('sycamorering')
	.usage('$0 <command> [options]')
	.command(host.command)
	.command(standin.command)
	.demandCommand(1, 'Name a command.')
	.recommendCommands()
	.strict()
	.exitProcess(true)
	.fail((message, error: Error | undefined, parser) => {
		console.error(error ? (error.stack ?? error.message) : `${message}\n\n${parser.help() as unknown as string}`);
		process.exit(2);
	})
	.help()
	.parseAsync();
