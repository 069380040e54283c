/**
`sycamorering standin`: runs a stand-in for the platform or for a backend server.
*/
import * as fs from 'node:fs/promises';
import process from 'node:process';
import type * as yargs from 'yargs';
import * as address from '../core/address.js';
import * as record from '../core/record.js';
import * as database from '../standin/database.js';
import * as platform from '../standin/platform.js';

type PlatformArguments = {listen: string; configuration?: string};

type ServerArguments = {
	name: string;
	listen: string;
	peer: string[];
	primary?: string;
	connections: number;
	slots: number;
	connectMs: number;
	serviceMs: number;
	lagMs: number;
	password: string;
	schema: string[];
};

const platformCommand: yargs.CommandModule<unknown, PlatformArguments> = {
	command: 'platform',
	describe: 'Run a stand-in for the object API of the platform',
	builder: parser => parser
		.option('listen', {type: 'string', default: '127.0.0.1:7000', describe: 'IP:port'})
		.option('configuration', {type: 'string', describe: 'INI file to store as the configuration at startup'})
		.example('$0 standin platform --listen 127.0.0.1:7000', 'Run it on port 7000'),
	handler: runPlatform,
};

const serverCommand: yargs.CommandModule<unknown, ServerArguments> = {
	command: 'server',
	describe: 'Run a stand-in for one server of a database group',
	builder: parser => parser
		.option('name', {type: 'string', demandOption: true, describe: 'Name of the server in its group'})
		.option('listen', {type: 'string', demandOption: true, describe: 'IP:port'})
		.option('peer', {
			type: 'string', array: true, default: [] as string[], describe: 'Another server of the group, name=IP:port',
		})
		.option('primary', {type: 'string', describe: 'Initial primary of the group; may be this server'})
		.option('connections', {type: 'number', default: 16, describe: 'Maximum number of connections'})
		.option('slots', {type: 'number', default: 2, describe: 'Maximum number of concurrent statements'})
		.option('connectMs', {type: 'number', default: 0, describe: 'Time to accept a connection, in ms'})
		.option('serviceMs', {type: 'number', default: 0, describe: 'Execution time of each statement, in ms'})
		.option('lagMs', {type: 'number', default: 0, describe: 'Replication delay, in ms'})
		.option('password', {type: 'string', default: '', describe: 'Password of every account'})
		.option('schema', {
			type: 'string', array: true, default: [] as string[], describe: 'Statement to execute at startup, before the replication log begins',
		})
		.example('$0 standin server --name a --primary a --listen 127.0.0.1:7101 --peer b=127.0.0.1:7102', 'Run server a as primary'),
	handler: runServer,
};

export const command: yargs.CommandModule = {
	command: 'standin <kind>',
	describe: 'Run a stand-in for an external system',
	builder: parser => parser.command(platformCommand).command(serverCommand).demandCommand(1, 'Specify a stand-in.'),
	handler() {
		// The subcommands have handlers of their own.
	},
};

async function runPlatform({listen, configuration}: PlatformArguments): Promise<void> {
	const standin = new platform.Platform();
	if (configuration !== undefined) {
		standin.put('configuration', await fs.readFile(configuration, 'utf8'));
	}

	const {host, port} = address.parse(listen);
	console.error(`platform stand-in listens on ${await standin.start(host, port)}`);
	process.once('SIGTERM', () => {
		standin.stop();
	});
}

async function runServer(options: ServerArguments): Promise<void> {
	const peers = new Map(options.peer.map(text => {
		const [name = '', target = ''] = text.split('=', 2);
		return [name, address.parse(target)] as const;
	}));
	const standin = await database.Database.start({
		...options,
		...address.parse(options.listen),
		peers,
		connectionLimit: options.connections,
		isPrimary: options.primary === options.name,
		schema: [record.schema, ...options.schema],
	});
	if (options.primary !== undefined && options.primary !== options.name) {
		standin.replicateFrom(options.primary);
	}

	console.error(`stand-in server ${options.name} listens on port ${standin.port}`);
	process.once('SIGTERM', () => {
		standin.stop();
	});
}
