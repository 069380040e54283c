/**
Connections of callers over the line protocol, and the listener that accepts them.
*/
import * as net from 'node:net';
import * as address from '../core/address.js';
import * as caller from '../entry/caller.js';
import type * as statement from '../entry/statement.js';
import * as intakes from '../intake/intake.js';
import * as keeping from '../intake/keeping.js';
import * as line from './line.js';
import * as stream from './stream.js';

/** The connection of one caller. */
export class Caller extends caller.Caller {
	readonly #socket: net.Socket;
	readonly #stream: stream.Stream;
	#hasPendingRequest = false;

	constructor(socket: net.Socket, intake: intakes.Intake = new intakes.Intake()) {
		super();
		this.#socket = socket;
		this.#stream = new stream.Stream(socket, intake);
	}

	override get address(): string {
		return this.#socket.remoteAddress ?? '';
	}

	override get hasPendingRequest(): boolean {
		return this.#hasPendingRequest || this.#stream.hasNext;
	}

	override async open(): Promise<caller.Opening | undefined> {
		const text = await this.#stream.next();
		if (text === undefined) {
			return undefined;
		}

		const [command, database, key] = line.split(text, 2);
		if (command !== 'STARTUP' || database === undefined || database === '') {
			this.reject('malformed', 'a session must begin with STARTUP and a database name');
			return undefined;
		}

		return {database: keeping.detach(database), key: key ?? ''};
	}

	override accept(): void {
		this.#stream.open();
		this.#stream.write(line.formatReady('none'));
	}

	override reject(refusal: statement.Refusal, message: string): void {
		this.#socket.end(line.formatError(refusal, message), line.encoding);
	}

	override async next(): Promise<statement.Request | undefined> {
		this.#hasPendingRequest = false;
		const text = await this.#stream.next();
		const [command, id, query] = text === undefined ? [] : line.split(text, 2);
		if (command !== 'QUERY' || id === undefined || query === undefined) {
			// TERMINATE, the end of the connection and any unknown line end the session.
			this.close();
			return undefined;
		}

		this.#hasPendingRequest = true;
		const room = this.#stream.begin(query.length);
		if (room) {
			await room;
			if (this.#socket.destroyed) {
				this.#hasPendingRequest = false;
				return undefined;
			}
		}

		return {id: keeping.detach(id), statement: line.parseStatement(query)};
	}

	override reply(reply: statement.Reply): void {
		this.#hasPendingRequest = false;
		this.#stream.write(line.formatReply(reply));
		this.#stream.finish(reply.state !== 'none');
	}

	/**
	Stops reading, then closes the connection once pending output is written. A request may still arrive before the close
	reaches the caller, and each request that is read requires a reply.
	*/
	override close(): void {
		this.#stream.close();
	}

	override keep(bytes: number): boolean {
		return this.#stream.keep(bytes);
	}
}

/** Accepts connections of callers. */
export class Listener {
	readonly #server: net.Server;

	constructor(accept: (connection: caller.Caller) => void, intake: intakes.Intake = new intakes.Intake()) {
		this.#server = net.createServer({noDelay: true, allowHalfOpen: false}, socket => {
			accept(new Caller(socket, intake));
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
