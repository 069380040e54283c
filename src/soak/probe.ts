/**
Opens sessions at one entry host for routes that were just added or removed, and reports the answers.
*/
import * as net from 'node:net';
import * as line from '../platform/line.js';
import type * as clock from '../core/clock.js';
import type * as soakCustomers from './customers.js';
import type * as configurations from './configurations.js';

export type Options = {
	readonly clock: clock.Clock;
	readonly configurations: configurations.Configurations;
	readonly customers: soakCustomers.Customers | undefined;
	/** A database whose route isn't public, if there are customers. */
	readonly privateDatabase: string;
	/** Address of the host's caller listener. */
	readonly address: string;
	/** The host's current process; `undefined` while it isn't running. */
	readonly process: () => configurations.Process | undefined;
};

const intervalMs = 150;
const responseTimeoutMs = 2000;
/** A key that no configuration has. The probes' own routes are public. */
const unknownKey = 'probe';
/** One in this many probes tries to open a session that needs a key with the unknown one. */
const unknownKeyInterval = 10;

/** Database name of the route that only configuration `number` has. */
export function databaseName(number: number): string {
	return `added-${number}`;
}

/** Opens one session after another. */
export class Probe {
	readonly #options: Options;

	constructor(options: Options) {
		this.#options = options;
	}

	/** Opens sessions for the latest configuration's route and for the one that it removed, until `signal` aborts. */
	async run(signal: AbortSignal): Promise<void> {
		const {
			clock: time, configurations: checked, customers, privateDatabase, address,
		} = this.#options;
		for (let count = 0; !signal.aborted; count++) {
			const number = checked.latest - (count % 2);
			if (number >= 0) {
				await this.#openSession(number);
			}

			if (customers && count % unknownKeyInterval === 0) {
				customers.recordUnknownKey(await request(time, address, `STARTUP ${privateDatabase} ${unknownKey}\r\n`));
			}

			await time.sleep(intervalMs, signal);
		}
	}

	async #openSession(number: number): Promise<void> {
		const {configurations: checked, process} = this.#options;
		const before = process();
		if (!before) {
			return;
		}

		const record = checked.request(before, number);
		const answer = await openSession(this.#options.clock, this.#options.address, databaseName(number));
		if (answer && process()?.pid === before.pid) {
			record(answer);
		}
	}
}

/** Opens a session for a database at a host; `undefined` if the host's answer says nothing about its configuration. */
export async function openSession(time: clock.Clock, address: string, database: string): Promise<configurations.Answer | undefined> {
	return parseAnswer(await request(time, address, `STARTUP ${database} ${unknownKey}\r\n`));
}

/** Sends a line on a new connection and returns the first line of the response; `undefined` if there is none. */
async function request(time: clock.Clock, address: string, text: string): Promise<string | undefined> {
	const [host, port] = address.split(':');
	const socket = net.connect({host, port: Number(port), noDelay: true});
	const splitter = new line.Splitter();
	const response = new Promise<string | undefined>(resolve => {
		socket.on('data', chunk => {
			const [first] = splitter.push(chunk) ?? [];
			if (first !== undefined) {
				resolve(first);
			}
		});
		socket.on('error', () => {
			socket.destroy();
		});
		socket.on('close', () => {
			resolve(undefined);
		});
	});
	socket.write(text);
	const first = await time.limit(response, responseTimeoutMs);
	socket.destroy();
	return first;
}

/** Other responses, for example of a host that is about to exit, say nothing about the configuration. */
function parseAnswer(response: string | undefined): configurations.Answer | undefined {
	if (response?.startsWith('READY')) {
		return 'known';
	}

	return response?.startsWith('ERROR NODB') ? 'unknown' : undefined;
}
