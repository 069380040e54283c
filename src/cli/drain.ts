/**
`sycamorering drain`: drains an entry host on this machine.
*/
import process from 'node:process';
import type * as yargs from 'yargs';
import * as clock from '../core/clock.js';
import * as exit from './exit.js';

type Arguments = {pid: number; waitSeconds: number; json: boolean};

const pollMs = 100;

export const command: yargs.CommandModule<unknown, Arguments> = {
	command: 'drain',
	describe: 'Drain the entry host with a process id: send it SIGTERM and wait for its end',
	builder: parser => parser
		.option('pid', {type: 'number', demandOption: true, describe: 'Process id of `sycamorering host`'})
		.option('waitSeconds', {
			alias: 'wait-seconds', type: 'number', default: 35, describe: 'Longest wait for its end; 0 does not wait',
		})
		.option('json', {type: 'boolean', default: false, describe: 'Print JSON for scripts'})
		.check(({pid, waitSeconds}) => {
			// Process id 0 and negative ones stand for groups of processes, 1 for the system's own.
			if (!Number.isSafeInteger(pid) || pid < 2 || !(waitSeconds >= 0)) {
				throw new Error('--pid takes a process id above 1, and --wait-seconds a time');
			}

			return true;
		})
		.epilogue('SIGTERM makes the host report that it is leaving, accept no new connections, finish requests and transactions within drainLimitMs, and end. '
			+ 'On another machine send SIGTERM by its own service manager.')
		.example('$0 drain --pid 4711', 'Drain and wait up to 35 s'),
	handler: run,
};

async function run({pid, waitSeconds, json}: Arguments): Promise<void> {
	const isSent = signal(pid, 'SIGTERM');
	const time = new clock.System();
	const end = time.now() + (waitSeconds * 1000);
	let isRunning = isSent && signal(pid, 0);
	while (isRunning && time.now() < end) {
		await time.sleep(pollMs);
		isRunning = signal(pid, 0);
	}

	const message = isRunning ? `process ${pid} is draining` : `process ${pid} has ended`;
	const text = isSent ? message : `process ${pid} does not exist or may not be signalled`;
	console.log(json
		? JSON.stringify({
			pid, isSent, isRunning, message: text,
		})
		: text);
	const isDone = isSent && (!isRunning || waitSeconds === 0);
	process.exitCode = isDone ? exit.codes.success : exit.codes.failure;
}

/** Sends a signal; 0 only asks whether the process exists. */
function signal(pid: number, name: 'SIGTERM' | 0): boolean {
	try {
		return process.kill(pid, name);
	} catch {
		return false;
	}
}
