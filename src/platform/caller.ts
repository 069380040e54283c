/**
Connections of callers over the line protocol, and the listener that accepts them.
*/
import * as net from 'node:net';
import * as address from '../core/address.js';
import * as caller from '../entry/caller.js';
import type * as statement from '../entry/statement.js';
import * as line from './line.js';

/** Maximum number of received lines that wait; a caller that sends more without reading its replies is disconnected. */
const maxQueuedLines = 64;

/** The connection of one caller. */
export class Caller extends caller.Caller {
	readonly #socket: net.Socket;
	readonly #splitter = new line.Splitter();
	readonly #queue: string[] = [];
	#isEnded = false;
	#hasPendingRequest = false;
	#wake: (() => void) | undefined;

	constructor(socket: net.Socket) {
		super();
		this.#socket = socket;
		socket.on('data', chunk => {
			this.#receive(chunk);
		});
		// A reset is followed by `close`; for the session both mean that the caller has disconnected.
		socket.on('error', () => {
			socket.destroy();
		});
		socket.on('end', () => {
			this.#markEnded();
		});
		socket.on('close', () => {
			this.#markEnded();
		});
	}

	override get address(): string {
		return this.#socket.remoteAddress ?? '';
	}

	override get hasPendingRequest(): boolean {
		return this.#hasPendingRequest || this.#queue.length > 0;
	}

	override async open(): Promise<caller.Opening | undefined> {
		const text = await this.#readLine();
		if (text === undefined) {
			return undefined;
		}

		const [command, database, key] = line.split(text, 2);
		if (command !== 'STARTUP' || database === undefined || database === '') {
			this.reject('malformed', 'a session must begin with STARTUP and a database name');
			return undefined;
		}

		return {database, key: key ?? ''};
	}

	override accept(): void {
		this.#socket.write(line.formatReady('none'), line.encoding);
	}

	override reject(refusal: statement.Refusal, message: string): void {
		this.#socket.end(line.formatError(refusal, message), line.encoding);
	}

	override async next(): Promise<statement.Request | undefined> {
		this.#hasPendingRequest = false;
		const text = await this.#readLine();
		const [command, id, query] = text === undefined ? [] : line.split(text, 2);
		if (command !== 'QUERY' || id === undefined || query === undefined) {
			// TERMINATE, the end of the connection and any unknown line end the session.
			this.close();
			return undefined;
		}

		this.#hasPendingRequest = true;
		return {id, statement: line.parseStatement(query)};
	}

	override reply(reply: statement.Reply): void {
		this.#hasPendingRequest = false;
		if (this.#socket.writable) {
			this.#socket.write(line.formatReply(reply), line.encoding);
		}
	}

	/**
	Stops reading, then closes the connection once pending output is written. A request may still arrive before the close
	reaches the caller, and each request that is read requires a reply.
	*/
	override close(): void {
		this.#socket.pause();
		if (this.#socket.writableLength === 0) {
			// Closing in this turn leaves the caller the least time to send a request between the reply and the close.
			this.#socket.destroy();
		} else {
			this.#socket.destroySoon();
		}

		this.#markEnded();
	}

	async #readLine(): Promise<string | undefined> {
		while (this.#queue.length === 0 && !this.#isEnded) {
			await new Promise<void>(resolve => {
				this.#wake = resolve;
			});
		}

		return this.#queue.shift();
	}

	#receive(chunk: Uint8Array): void {
		const lines = this.#splitter.push(chunk);
		if (!lines || this.#queue.length + lines.length > maxQueuedLines) {
			this.#socket.destroy();
			this.#markEnded();
			return;
		}

		this.#queue.push(...lines);
		this.#wake?.();
	}

	#markEnded(): void {
		this.#isEnded = true;
		this.#wake?.();
	}
}

/** Accepts connections of callers. */
export class Listener {
	readonly #server: net.Server;

	constructor(accept: (connection: caller.Caller) => void) {
		this.#server = net.createServer({noDelay: true, allowHalfOpen: false}, socket => {
			accept(new Caller(socket));
		});
	}

	/** Listens on IP:port and returns the port; port 0 selects a free one. */
	async listen(text: string): Promise<number> {
		const {host, port} = address.parse(text);
		return new Promise((resolve, reject) => {
			this.#server.once('error', reject);
			this.#server.listen({host, port, backlog: 1024}, () => {
				resolve((this.#server.address() as net.AddressInfo).port);
			});
		});
	}

	/** Stops accepting connections. */
	close(): void {
		this.#server.close();
	}
}
