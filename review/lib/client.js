/**
A client's session over the wire.
*/
import * as net from 'node:net';
import * as clock from './clock.js';
import * as line from './line.js';

/** Answers that promise that nothing of the attempt is kept. */
export const promises = new Set(['BUSY', 'ABORTED', 'LAGGING', 'READONLY', 'WRONGNODE', 'CONNLIMIT']);

/** One session. An answer is `{rows, signature, error, state}`, or `undefined` if the connection ended without one. */
export class Session {
	isOpen = false;
	#socket;
	#lines = [];
	#wake = () => undefined;

	constructor(address) {
		const [host, port] = address.split(':');
		const splitter = new line.Splitter();
		this.#socket = net.connect({host, port: Number(port), noDelay: true});
		this.#socket.on('data', chunk => {
			this.#lines.push(...splitter.push(chunk));
			this.#wake();
		});
		this.#socket.on('error', () => undefined);
		this.#socket.on('close', () => {
			this.isOpen = false;
			this.#lines.push(undefined);
			this.#wake();
		});
	}

	/** Opens the session; false if the host refuses it or doesn't answer. */
	async open(database) {
		this.#socket.write(`STARTUP ${database} review\r\n`);
		const text = await this.#next(2000);
		this.isOpen = text?.startsWith('READY') ?? false;
		return this.isOpen;
	}

	/** Sends a request and waits for its answer. */
	async query(id, text, limitMs = 5000) {
		this.#socket.write(`QUERY ${id} ${text}\r\n`);
		const answer = {rows: [], signature: '', error: undefined};
		for (;;) {
			const received = await this.#next(limitMs);
			if (received === undefined) {
				this.close();
				return undefined;
			}

			const [word, first] = line.split(received, 1);
			switch (word) {
				case 'DATAROW': {
					answer.rows.push(first);
					break;
				}

				case 'COMPLETE': {
					answer.signature = first;
					break;
				}

				case 'ERROR': {
					answer.error = first;
					break;
				}

				default: {
					return {...answer, state: first.split(' ')[0]};
				}
			}
		}
	}

	close() {
		this.isOpen = false;
		this.#socket.destroy();
	}

	async #next(limitMs) {
		const end = clock.now() + limitMs;
		while (this.#lines.length === 0 && clock.now() < end) {
			await new Promise(resolve => {
				const timer = setTimeout(resolve, end - clock.now());
				this.#wake = () => {
					clearTimeout(timer);
					resolve();
				};
			});
		}

		return this.#lines.shift();
	}
}
