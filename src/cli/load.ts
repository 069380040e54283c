/**
`sycamorering load`: sends statements by the MySQL protocol and prints throughput and latencies.
*/
import process from 'node:process';
import * as Either from 'fp-ts/lib/Either.js';
import type * as yargs from 'yargs';
import * as load from '../bench/load.js';
import * as address from '../core/address.js';
import * as directive from '../core/directive.js';
import * as exit from './exit.js';

type Arguments = {
	address: string; user: string; password: string; connections: number; seconds: number; read: string; write: string;
	writeShare: number; class: string; writeClass: string; age: string; seed: number; json: boolean;
};

const limits = {connections: 10_000, seconds: 3600};

export const command: yargs.CommandModule<unknown, Arguments> = {
	command: 'load <address>',
	describe: 'Send statements to an entry host or a backend server and print throughput and latencies',
	builder: parser => parser
		.positional('address', {type: 'string', demandOption: true, describe: 'IP:port'})
		.option('user', {type: 'string', demandOption: true, describe: 'Account'})
		.option('password', {type: 'string', default: '', describe: 'Password of the account'})
		.option('connections', {type: 'number', default: 8, describe: `Connections, at most ${limits.connections}`})
		.option('seconds', {type: 'number', default: 10, describe: `Duration, at most ${limits.seconds}`})
		.option('read', {type: 'string', default: 'SELECT 1', describe: 'Read statement'})
		.option('write', {type: 'string', default: '', describe: 'Write statement'})
		.option('writeShare', {
			alias: 'write-share', type: 'number', default: 0, describe: 'Fraction of statements that are writes, 0 to 1',
		})
		.option('class', {type: 'string', default: '', describe: 'Request class of the reads'})
		.option('writeClass', {
			alias: 'write-class', type: 'string', default: '', describe: 'Request class of the writes',
		})
		.option('age', {type: 'string', default: '', describe: 'Maximum staleness of the reads, such as 500ms or 2s'})
		.option('seed', {type: 'number', default: 1, describe: 'Seed of the random mix of reads and writes'})
		.option('json', {type: 'boolean', default: false, describe: 'Print JSON for scripts'})
		.check(verify)
		.example('$0 load 10.0.1.1:3306 --user secretary --password secret --class balance --age 2s', 'Reads with a staleness of up to 2 s')
		.example('$0 load 10.0.1.1:3306 --user secretary --write "UPDATE t SET n = n + 1" --write-share 0.1', 'One write per ten statements'),
	handler: run,
};

function verify({address: text, connections, seconds, write, writeShare, class: name, writeClass, age}: Arguments): true {
	const comments = [formatDirectives(name, age), formatDirectives(writeClass, '')].map(text => directive.parseComment(text));
	const problems = [
		/^[\d.a-fA-F:\[\]]+:\d+$/v.test(text) ? '' : `"${text}" is not IP:port`,
		Number.isInteger(connections) && connections > 0 && connections <= limits.connections ? '' : '--connections is out of range',
		seconds > 0 && seconds <= limits.seconds ? '' : '--seconds is out of range',
		writeShare >= 0 && writeShare <= 1 ? '' : '--write-share is not from 0 to 1',
		writeShare > 0 && write === '' ? '--write-share requires --write' : '',
		...comments.map(comment => Either.isLeft(comment) ? comment.left.message : ''),
	].filter(problem => problem !== '');
	if (problems.length > 0) {
		throw new Error(problems.join('; '));
	}

	return true;
}

/** Formats the leading comment for a class and an age. It may be malformed, which `verify` checks. */
function formatDirectives(name: string, age: string): string {
	const items = [...(name === '' ? [] : [`class=${name}`]), ...(age === '' ? [] : [`age=${age}`])];
	return items.length === 0 ? '' : `/* sycamorering ${items.join(' ')} */ `;
}

async function run(options: Arguments): Promise<void> {
	const report = await load.run({
		...address.parse(options.address),
		user: options.user,
		password: options.password,
		connections: options.connections,
		durationMs: options.seconds * 1000,
		read: formatDirectives(options.class, options.age) + options.read,
		write: formatDirectives(options.writeClass, '') + options.write,
		writeShare: options.writeShare,
		seed: options.seed,
	});
	const total = report.reads.statements + report.writes.statements;
	process.exitCode = total === 0 ? exit.codes.failure : exit.codes.success;
	if (options.json) {
		console.log(JSON.stringify(report));
		return;
	}

	for (const [kind, summary] of [['reads', report.reads], ['writes', report.writes]] as const) {
		const {statements, perSecond, p50Ms, p90Ms, p99Ms, p999Ms, failures} = summary;
		console.log(`${kind}: ${statements} (${perSecond}/s), p50 ${p50Ms} ms, p90 ${p90Ms} ms, p99 ${p99Ms} ms, p99.9 ${p999Ms} ms, failures ${JSON.stringify(failures)}`);
	}
}
