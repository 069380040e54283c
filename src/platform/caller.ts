/**
Callers by the line protocol, and the listener that accepts them.
*/
import * as net from 'node:net';
import * as address from '../core/address.js';
import * as caller from '../entry/caller.js';
import type * as statement from '../entry/statement.js';
import * as line from './line.js';

/** Requests of one caller that may wait; a caller that sends more without reading answers is cut off. */
const mostWaiting = 64;

/** One caller. */
export class Caller extends caller.Caller {
	readonly #socket: net.Socket;
	readonly #splitter = new line.Splitter();
	readonly #lines: string[] = [];
	#isEnded = false;
	#isWaiting = false;
	#wake: (() => void) | undefined;

	constructor(socket: net.Socket) {
		super();
		this.#socket = socket;
		socket.on('data', chunk => {
			this.#receive(chunk);
		});
		// A reset is followed by `close`, and to a session both mean that the caller is gone.
		socket.on('error', () => {
			socket.destroy();
		});
		socket.on('end', () => {
			this.#end();
		});
		socket.on('close', () => {
			this.#end();
		});
	}

	override get peer(): string {
		return this.#socket.remoteAddress ?? '';
	}

	override get isWaiting(): boolean {
		return this.#isWaiting || this.#lines.length > 0;
	}

	override async open(): Promise<caller.Opening | undefined> {
		const text = await this.#line();
		if (text === undefined) {
			return undefined;
		}

		const [word, database, user] = line.split(text, 2);
		if (word !== 'STARTUP' || database === undefined || database === '') {
			this.reject('malformed', 'a session begins with STARTUP');
			return undefined;
		}

		return {database, user: user ?? ''};
	}

	override welcome(): void {
		this.#socket.write(line.formatReady('none'), line.encoding);
	}

	override reject(refusal: statement.Refusal, message: string): void {
		this.#socket.end(line.formatError(refusal, message), line.encoding);
	}

	override async next(): Promise<statement.Request | undefined> {
		this.#isWaiting = false;
		const text = await this.#line();
		const [word, id, query] = text === undefined ? [] : line.split(text, 2);
		if (word !== 'QUERY' || id === undefined || query === undefined) {
			// TERMINATE and the end of the connection end a session; anything else has no meaning.
			this.close();
			return undefined;
		}

		this.#isWaiting = true;
		return {id, statement: line.parseStatement(query)};
	}

	override reply(reply: statement.Reply): void {
		this.#isWaiting = false;
		if (this.#socket.writable) {
			this.#socket.write(line.formatReply(reply), line.encoding);
		}
	}

	/**
	What the caller sends from now on stays unread: its end of the connection may be told late, and a request that was read
	would have to be answered.
	*/
	override close(): void {
		this.#socket.pause();
		this.#socket.destroySoon();
		this.#end();
	}

	async #line(): Promise<string | undefined> {
		while (this.#lines.length === 0 && !this.#isEnded) {
			await new Promise<void>(resolve => {
				this.#wake = resolve;
			});
		}

		return this.#lines.shift();
	}

	#receive(chunk: Uint8Array): void {
		const found = this.#splitter.push(chunk);
		if (!found || this.#lines.length + found.length > mostWaiting) {
			this.#socket.destroy();
			this.#end();
			return;
		}

		this.#lines.push(...found);
		this.#wake?.();
	}

	#end(): void {
		this.#isEnded = true;
		this.#wake?.();
	}
}

/** Accepts callers. */
export class Listener {
	readonly #server: net.Server;

	constructor(accept: (accepted: caller.Caller) => void) {
		this.#server = net.createServer({noDelay: true, allowHalfOpen: false}, socket => {
			accept(new Caller(socket));
		});
	}

	/** Listens on IP:port; port 0 takes a free one. Gives the port. */
	async listen(text: string): Promise<number> {
		const {host, port} = address.parse(text);
		return new Promise((resolve, reject) => {
			this.#server.once('error', reject);
			this.#server.listen({host, port, backlog: 1024}, () => {
				resolve((this.#server.address() as net.AddressInfo).port);
			});
		});
	}

	/** Accepts no further callers. */
	close(): void {
		this.#server.close();
	}
}
