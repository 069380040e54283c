/**
`sycamorering show`: prints the current configuration.
*/
import process from 'node:process';
import * as Either from 'fp-ts/lib/Either.js';
import type * as yargs from 'yargs';
import * as publish from '../operator/publish.js';
import * as exit from './exit.js';
import * as platform from './platform.js';

type Arguments = platform.Arguments & {versionOnly: boolean};

export const command: yargs.CommandModule<unknown, Arguments> = {
	command: 'show',
	describe: 'Print the current configuration, including password hashes, exactly as it was applied',
	builder: parser => parser
		.options(platform.options)
		.option('versionOnly', {
			alias: 'version-only', type: 'boolean', default: false, describe: 'Print only the version; 0 if there is none',
		})
		.check(platform.verify)
		.example('$0 show --platform http://10.0.0.9:7000/ > site.ini', 'Save the current configuration')
		.example('$0 show --version-only --platform http://10.0.0.9:7000/', 'Print its version, for apply --expect'),
	handler: run,
};

async function run({platform: url, json, versionOnly}: Arguments): Promise<void> {
	const outcome = await publish.show(platform.open(url));
	if (Either.isLeft(outcome)) {
		exit.report(outcome.left, json);
		return;
	}

	const {version, value} = outcome.right;
	if (version === 0) {
		console.error('no configuration has been applied yet');
	}

	if (json) {
		console.log(JSON.stringify(versionOnly ? {version} : {version, text: value}));
	} else {
		process.stdout.write(versionOnly ? `${version}\n` : value);
	}
}
