/**
`sycamorering status`: prints the readiness and status of entry hosts.
*/
import process from 'node:process';
import type * as yargs from 'yargs';
import * as exit from './exit.js';

type Arguments = {host: string[]; json: boolean};

/** Response of one host. `status` is the JSON from `/status`, or null if the host returned none. */
type Report = {readonly host: string; readonly isReachable: boolean; readonly isReady: boolean; readonly message: string; readonly status: unknown};

const timeoutMs = 3000;

export const command: yargs.CommandModule<unknown, Arguments> = {
	command: 'status <host..>',
	describe: 'Print the readiness and status of entry hosts; exit code 1 unless all are ready',
	builder: parser => parser
		.positional('host', {
			type: 'string', array: true, demandOption: true, describe: 'HTTP address of an entry host as IP:port',
		})
		.option('json', {type: 'boolean', default: false, describe: 'Print JSON for scripts'})
		.check(({host}) => {
			const invalid = host.find(name => !URL.canParse(`http://${name}/`));
			if (invalid !== undefined) {
				throw new Error(`"${invalid}" is not IP:port`);
			}

			return true;
		})
		.example('$0 status 10.0.1.1:7401 10.0.2.1:7401', 'Query two hosts'),
	handler: run,
};

async function run({host, json}: Arguments): Promise<void> {
	const reports = await Promise.all(host.map(async name => fetchReport(name)));
	if (json) {
		console.log(JSON.stringify(reports));
	} else {
		for (const {host: name, message, status} of reports) {
			console.log(`${name}: ${message}${status === null ? '' : `\n${JSON.stringify(status, undefined, 2)}`}`);
		}
	}

	process.exitCode = reports.every(({isReady}) => isReady) ? exit.codes.success : exit.codes.failure;
}

async function fetchReport(host: string): Promise<Report> {
	try {
		const [ready, status] = await Promise.all(['ready', 'status'].map(async path => fetch(`http://${host}/${path}`, {signal: AbortSignal.timeout(timeoutMs)})));
		return {
			host, isReachable: true, isReady: ready?.ok ?? false, message: (await ready?.text() ?? '').trim(), status: await readJson(status),
		};
	} catch (error) {
		const reason = error instanceof Error ? `${error.message}${error.cause instanceof Error ? `: ${error.cause.message}` : ''}` : String(error);
		return {
			host, isReachable: false, isReady: false, message: `unreachable (${reason})`, status: null,
		};
	}
}

async function readJson(response: Response | undefined): Promise<unknown> {
	const text = await response?.text() ?? '';
	try {
		return response?.ok ? JSON.parse(text) as unknown : null;
	} catch {
		return null;
	}
}
