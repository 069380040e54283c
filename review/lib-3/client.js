/**
A client session over the wire protocol: one request at a time.
*/
import {Buffer} from 'node:buffer';
import * as net from 'node:net';
import {Lines} from './group.js';

/** Every request of all clients, in the order in which they were sent: {at, sent, bytes, answeredAt, answer}. */
export const exchanges = [];

const maxShown = 60;

/** A copy of the beginning of a text, which doesn't keep the whole text in memory. */
function shorten(text) {
	return Buffer.from(text.slice(0, maxShown), 'latin1').toString('latin1').trimEnd();
}

export class Client {
	isClosed = false;
	#socket;
	#lines = new Lines();
	#pending;
	#current = {
		rows: [], code: '', text: '', signature: '',
	};

	constructor(address) {
		const [host, port] = address.split(':');
		this.#socket = net.connect({host, port: Number(port), noDelay: true});
		this.#socket.on('error', () => {
			this.#socket.destroy();
		});
		this.#socket.on('close', () => {
			this.isClosed = true;
			this.#pending?.({...this.#current, code: 'CLOSED'});
			this.#pending = undefined;
		});
		this.#socket.on('data', chunk => {
			for (const text of this.#lines.push(chunk)) {
				this.#handle(text);
			}
		});
	}

	/** The socket, for clients that don't keep to the usual exchange. */
	get socket() {
		return this.#socket;
	}

	async startUp(database, who = 'u1') {
		return this.#request(`STARTUP ${database} ${who}\r\n`);
	}

	async query(id, text) {
		return this.#request(`QUERY ${id} ${text}\r\n`);
	}

	close() {
		this.#socket.destroy();
	}

	async #request(text) {
		if (this.isClosed) {
			return {...this.#current, code: 'CLOSED'};
		}

		this.#current = {
			rows: [], code: '', text: '', signature: '',
		};
		const exchange = {at: performance.now(), sent: shorten(text), bytes: text.length};
		exchanges.push(exchange);
		const reply = await new Promise(resolve => {
			this.#pending = resolve;
			this.#socket.write(text, 'latin1');
		});
		exchange.answeredAt = performance.now();
		exchange.answer = shorten(reply.code || [reply.signature, ...reply.rows].join(' ').trim() || `READY ${reply.state}`);
		return reply;
	}

	#handle(text) {
		const [word, first = ''] = text.split(' ', 2);
		switch (word) {
			case 'DATAROW': {
				this.#current.rows.push(text.slice('DATAROW '.length));
				break;
			}

			case 'COMPLETE': {
				this.#current.signature = first;
				break;
			}

			case 'ERROR': {
				this.#current.code = first;
				this.#current.text = text.slice(word.length + first.length + 2, 300);
				break;
			}

			default: {
				this.#pending?.({...this.#current, state: first});
				this.#pending = undefined;
			}
		}
	}
}
