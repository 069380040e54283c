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
	describe: 'Drain an entry host: send SIGTERM to its process and wait until it exits',
	builder: parser => parser
		.option('pid', {type: 'number', demandOption: true, describe: 'Process id of `sycamorering host`'})
		.option('waitSeconds', {
			alias: 'wait-seconds', type: 'number', default: 35, describe: 'Maximum time to wait for the exit; 0 does not wait',
		})
		.option('json', {type: 'boolean', default: false, describe: 'Print JSON for scripts'})
		.check(({pid, waitSeconds}) => {
			// Process id 0 and negative ids address process groups; 1 is the init process.
			if (!Number.isSafeInteger(pid) || pid < 2 || !(waitSeconds >= 0)) {
				throw new Error('--pid must be a process id above 1, and --wait-seconds must be 0 or more');
			}

			return true;
		})
		.epilogue('On SIGTERM the host announces its shutdown, accepts no new connections, finishes requests and transactions within drainLimitMs, and exits. '
			+ 'To drain a host on another machine, send SIGTERM through the service manager of that machine.')
		.example('$0 drain --pid 4711', 'Drain and wait up to 35 s'),
	handler: run,
};

async function run({pid, waitSeconds, json}: Arguments): Promise<void> {
	const isSent = signal(pid, 'SIGTERM');
	const time = new clock.System();
	const deadline = time.now() + (waitSeconds * 1000);
	let isRunning = isSent && signal(pid, 0);
	while (isRunning && time.now() < deadline) {
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

/** Sends a signal; 0 only checks whether the process exists. Returns false if the process can't be signalled. */
function signal(pid: number, name: 'SIGTERM' | 0): boolean {
	try {
		return process.kill(pid, name);
	} catch {
		return false;
	}
}
