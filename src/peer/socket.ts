/**
Links by WebSocket: each message is one binary frame in MessagePack. The names of a message's fields are sent with the first
message of a form, and later ones refer to it; frames arrive in order or not at all.
*/
import type * as net from 'node:net';
import * as msgpackr from 'msgpackr';
import * as ws from 'ws';
import * as address from '../core/address.js';
import type * as clock from '../core/clock.js';
import * as link from './link.js';

/** What links need. */
export type Options<M> = {
	readonly clock: clock.Clock;
	/** A link without a pong for this time in ms is closed. */
	readonly timeoutMs: number;
	/** Whether a decoded frame is a message of this link. */
	readonly isMessage: (value: unknown) => value is M;
	/** Told why a link was closed on this side. */
	readonly warn: (message: string, fields: {readonly reason: string}) => void;
};

type Outgoing = {readonly frame: Uint8Array; readonly delivery: link.Delivery};

const packing = {sequential: true, mapsAsObjects: true} as const;
/** Frames of this many bytes are compressed, each by itself: configurations reach hundreds of KB, and links may be thin. */
const compression = {threshold: 16_384, serverNoContextTakeover: true, clientNoContextTakeover: true} as const;
const pingsPerTimeout = 4;
/**
Pause between pings on a link that is not in use, as a multiple of the timeout. A message wakes the pings at once, so
only the loss of an unused link is noticed later.
*/
const idleTimeouts = 5;
const flushPollMs = 5;

/** A link over one WebSocket. */
export class Link<M> extends link.Link<M> {
	readonly #socket: ws.WebSocket;
	readonly #options: Options<M>;
	readonly #packer = new msgpackr.Packr({...packing});
	readonly #unpacker = new msgpackr.Unpackr({...packing});
	readonly #closed = new AbortController();
	readonly #incoming: M[] = [];
	readonly #outgoing: Outgoing[] = [];
	#isWriting = false;
	/** Time of the first ping without a pong. */
	#unansweredSince: number | undefined;
	#usedAt: number;
	#rest = new AbortController();
	#wake: (() => void) | undefined;

	constructor(socket: ws.WebSocket, options: Options<M>) {
		super();
		this.#socket = socket;
		this.#options = options;
		this.#usedAt = options.clock.now();
		socket.on('message', (frame: Uint8Array) => {
			this.#usedAt = options.clock.now();
			this.#receive(frame);
		});
		socket.on('pong', () => {
			this.#unansweredSince = undefined;
		});
		socket.on('error', () => {
			this.#end();
		});
		socket.on('close', () => {
			this.#end();
		});
		void this.#watch();
	}

	override get closed(): AbortSignal {
		return this.#closed.signal;
	}

	override send(message: M): link.Delivery {
		const delivery: link.Delivery = {state: 'queued'};
		this.#outgoing.push({frame: this.#packer.pack(message), delivery});
		this.#usedAt = this.#options.clock.now();
		this.#rest.abort('used');
		void this.#write();
		return delivery;
	}

	override async next(): Promise<M | undefined> {
		while (this.#incoming.length === 0 && !this.closed.aborted) {
			await new Promise<void>(resolve => {
				this.#wake = resolve;
			});
		}

		return this.closed.aborted ? undefined : this.#incoming.shift();
	}

	override async finish(): Promise<void> {
		while (this.#isWriting && !this.closed.aborted) {
			await this.#options.clock.sleep(flushPollMs, this.closed);
		}

		// The peer closes its side once it has read all; `close` would drop what is on its way.
		this.#socket.close();
		await this.#options.clock.sleep(this.#options.timeoutMs, this.closed);
		this.close();
	}

	override close(reason?: string): void {
		if (!this.closed.aborted) {
			if (reason !== undefined) {
				this.#options.warn('link closed', {reason});
			}

			this.#socket.terminate();
			this.#end();
		}
	}

	/** One frame at a time, so that frames behind it are surely unwritten when the link fails. */
	async #write(): Promise<void> {
		if (this.#isWriting) {
			return;
		}

		this.#isWriting = true;
		for (let entry = this.#outgoing.shift(); entry && !this.closed.aborted; entry = this.#outgoing.shift()) {
			const {frame, delivery} = entry;
			delivery.state = 'written';
			await new Promise<void>(resolve => {
				this.#socket.send(frame, () => {
					resolve();
				});
			});
		}

		this.#isWriting = false;
	}

	/** Pings often while the link is in use or a pong is due, and seldom otherwise: a host may have hundreds of links. */
	async #watch(): Promise<void> {
		const {clock: time, timeoutMs} = this.#options;
		while (!this.closed.aborted) {
			this.#unansweredSince ??= time.now();
			this.#socket.ping();
			await time.sleep(timeoutMs / pingsPerTimeout, this.closed);
			const overdueMs = this.#overdueMs();
			if (overdueMs > timeoutMs) {
				this.close(`no pong within ${timeoutMs} ms`);
			} else if (overdueMs === 0 && time.now() - this.#usedAt > timeoutMs) {
				this.#rest = new AbortController();
				await time.sleep(timeoutMs * idleTimeouts, AbortSignal.any([this.#rest.signal, this.closed]));
			}
		}
	}

	/** Time in ms for which the oldest ping has had no pong; 0 if none is due. */
	#overdueMs(): number {
		return this.#unansweredSince === undefined ? 0 : this.#options.clock.now() - this.#unansweredSince;
	}

	#receive(frame: Uint8Array): void {
		const message = this.#decode(frame);
		if (this.#options.isMessage(message)) {
			this.#incoming.push(message);
			this.#wake?.();
		} else {
			this.close('the peer sent an invalid message');
		}
	}

	#decode(frame: Uint8Array): unknown {
		try {
			return this.#unpacker.unpack(frame);
		} catch {
			// The link is closed for a frame that is no message, and the reason logged there.
			return undefined;
		}
	}

	#end(): void {
		this.#closed.abort();
		this.#wake?.();
	}
}

/** Opens and accepts links over WebSocket. */
export class Transport<M> extends link.Transport<M> {
	readonly #options: Options<M>;
	#server: ws.WebSocketServer | undefined;

	constructor(options: Options<M>) {
		super();
		this.#options = options;
	}

	override async listen(target: string, accept: (accepted: link.Link<M>) => void): Promise<string> {
		const {host, port} = address.parse(target);
		const server = new ws.WebSocketServer({host, port, perMessageDeflate: compression});
		this.#server = server;
		server.on('connection', socket => {
			accept(new Link(socket, this.#options));
		});
		await new Promise<void>((resolve, reject) => {
			server.once('listening', resolve);
			server.once('error', reject);
		});
		return target.replace(/:\d+$/v, `:${(server.address() as net.AddressInfo).port}`);
	}

	override async open(target: string): Promise<link.Link<M> | undefined> {
		const socket = new ws.WebSocket(`ws://${target}/`, {handshakeTimeout: this.#options.timeoutMs, perMessageDeflate: compression});
		return new Promise(resolve => {
			socket.once('open', () => {
				resolve(new Link(socket, this.#options));
			});
			socket.once('error', () => {
				resolve(undefined);
			});
		});
	}

	override close(): void {
		this.#server?.close();
	}
}
