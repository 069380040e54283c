/**
Links over WebSocket. Each message is one binary frame in MessagePack. The first message of a shape carries the names of
its fields, and later ones refer to it. This encoding relies on WebSocket, which delivers frames in order or not at all.
*/
import * as http from 'node:http';
import type * as net from 'node:net';
import * as msgpackr from 'msgpackr';
import * as ws from 'ws';
import * as address from '../core/address.js';
import type * as clock from '../core/clock.js';
import type * as intakes from '../intake/intake.js';
import * as probes from '../intake/probe.js';
import * as link from './link.js';
import * as traffics from './traffic.js';

/** Options of a transport and its links. */
export type Options<M> = {
	readonly clock: clock.Clock;
	/** A link is closed if a ping gets no pong within this time in ms. */
	readonly timeoutMs: number;
	/** Validates a decoded frame. */
	readonly isMessage: (value: unknown) => value is M;
	/** Logs the reason why this host closed a link. */
	readonly warn: (message: string, fields: {readonly reason: string}) => void;
	/** Limits on links that others open; without them only the size of a frame is limited. */
	readonly intake?: intakes.Intake;
};

type Outgoing = {readonly frame: Uint8Array; readonly delivery: link.Delivery};

const codecOptions = {sequential: true, mapsAsObjects: true} as const;
/**
Frames of at least `threshold` bytes are compressed, each independently, since configurations reach hundreds of KB and
links may have little bandwidth.
*/
const compressionOptions = {threshold: 16_384, serverNoContextTakeover: true, clientNoContextTakeover: true} as const;
/**
Largest message that an accepted link takes, after decompression. The largest request has a text of 1 MiB and 1.25 MiB of
values and prepared statements, twice as long in UTF-8 at worst.
*/
const maxRequestBytes = 6_291_456;
/** Decompressions at a time: each may hold a message of the largest size before it is known to be invalid. */
const maxDecompressions = 4;
const pingsPerTimeout = 4;
/**
Pause between pings on an idle link, as a multiple of the timeout. Sending a message resumes pings immediately, so only
the loss of an idle link is detected later.
*/
const idlePauseTimeouts = 5;
const flushPollMs = 5;

/** A link over one WebSocket. */
export class Link<M> extends link.Link<M> {
	readonly #socket: ws.WebSocket;
	readonly #options: Options<M>;
	readonly #packer = new msgpackr.Packr({...codecOptions});
	readonly #unpacker = new msgpackr.Unpackr({...codecOptions});
	readonly #closed = new AbortController();
	readonly #incoming: M[] = [];
	readonly #outgoing: Outgoing[] = [];
	#isWriting = false;
	/** Time of the first ping without a pong. */
	#unansweredSince: number | undefined;
	#lastUsedAt: number;
	#idle = new AbortController();
	/** Counts what an accepted link holds. */
	readonly #traffic: traffics.Traffic | undefined;
	#wake: (() => void) | undefined;

	/** `accepted` is the connection below a link that was opened from outside. */
	constructor(socket: ws.WebSocket, options: Options<M>, accepted?: net.Socket) {
		super();
		this.#socket = socket;
		this.#options = options;
		this.#lastUsedAt = options.clock.now();
		socket.on('message', (frame: Uint8Array) => {
			this.#lastUsedAt = options.clock.now();
			this.#receive(frame);
		});
		socket.on('pong', () => {
			this.#unansweredSince = undefined;
		});
		socket.on('error', () => {
			this.#markClosed();
		});
		socket.on('close', () => {
			this.#markClosed();
		});
		if (accepted && options.intake) {
			this.#traffic = this.#createTraffic(accepted, options.intake);
		}

		void this.#keepAlive();
	}

	override get closed(): AbortSignal {
		return this.#closed.signal;
	}

	override get isOverloaded(): boolean {
		return this.#traffic?.isOverloaded ?? false;
	}

	override settle(message: M): void {
		this.#traffic?.settle(message);
	}

	override send(message: M): link.Delivery {
		const delivery: link.Delivery = {state: 'queued'};
		const frame = this.#packer.pack(message);
		this.#outgoing.push({frame, delivery});
		this.#traffic?.countOutput(frame.length);
		this.#lastUsedAt = this.#options.clock.now();
		this.#idle.abort('used');
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

		// The peer closes its side after reading all frames; `close` would drop frames in transit.
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
			this.#markClosed();
		}
	}

	#createTraffic(accepted: net.Socket, intake: intakes.Intake): traffics.Traffic {
		const traffic = new traffics.Traffic(accepted, intake, () => {
			this.close();
		});
		for (const event of ['message', 'ping', 'pong']) {
			this.#socket.prependListener(event, () => {
				traffic.receive();
			});
		}

		return traffic;
	}

	/** Writes one frame at a time, so that the frames still queued when the link fails are known to be unwritten. */
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
			this.#traffic?.countOutput(-frame.length);
		}

		this.#isWriting = false;
	}

	/**
	Pings often while the link is in use or a pong is pending, and rarely otherwise, since a host may have hundreds of links.
	*/
	async #keepAlive(): Promise<void> {
		const {clock: time, timeoutMs} = this.#options;
		while (!this.closed.aborted) {
			this.#unansweredSince ??= time.now();
			this.#socket.ping();
			await time.sleep(timeoutMs / pingsPerTimeout, this.closed);
			const overdueMs = this.#overdueMs();
			if (overdueMs > timeoutMs) {
				this.close(`no pong within ${timeoutMs} ms`);
			} else if (overdueMs === 0 && time.now() - this.#lastUsedAt > timeoutMs) {
				this.#idle = new AbortController();
				await time.sleep(timeoutMs * idlePauseTimeouts, AbortSignal.any([this.#idle.signal, this.closed]));
			}
		}
	}

	/** Time in ms since the first ping without a pong; 0 if no pong is pending. */
	#overdueMs(): number {
		return this.#unansweredSince === undefined ? 0 : this.#options.clock.now() - this.#unansweredSince;
	}

	#receive(frame: Uint8Array): void {
		const message = this.#decode(frame);
		if (this.#options.isMessage(message)) {
			this.#traffic?.begin(message, frame.length);
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
			// `#receive` closes the link and logs the reason.
			return undefined;
		}
	}

	#markClosed(): void {
		this.#closed.abort();
		this.#wake?.();
	}
}

/** Opens and accepts links over WebSocket. */
export class Transport<M> extends link.Transport<M> {
	readonly #options: Options<M>;
	#servers: ReadonlyArray<ws.WebSocketServer | http.Server> = [];

	constructor(options: Options<M>) {
		super();
		this.#options = options;
	}

	override async listen(target: string, accept: (accepted: link.Link<M>) => void): Promise<string> {
		const {host, port} = address.parse(target);
		const listener = http.createServer(probes.options, (_request, response) => {
			response.writeHead(426, {connection: 'close'});
			response.end();
		});
		// All hosts of a fleet may open their links at the same moment, so there is room for each.
		probes.limit(listener, this.#options.intake?.sizes.openingLinks ?? Number.POSITIVE_INFINITY);
		const server = new ws.WebSocketServer({
			server: listener, maxPayload: maxRequestBytes, perMessageDeflate: {...compressionOptions, concurrencyLimit: maxDecompressions},
		});
		this.#servers = [server, listener];
		server.on('connection', (socket, request) => {
			accept(new Link(socket, this.#options, request.socket));
		});
		await new Promise<void>((resolve, reject) => {
			server.once('listening', resolve);
			server.once('error', reject);
			listener.listen(port, host);
		});
		return target.replace(/:\d+$/v, `:${(listener.address() as net.AddressInfo).port}`);
	}

	override async open(target: string): Promise<link.Link<M> | undefined> {
		const socket = this.#createSocket(target);
		if (!socket) {
			return undefined;
		}

		const opening = new Promise<link.Link<M> | undefined>(resolve => {
			socket.once('open', () => {
				resolve(new Link(socket, this.#options));
			});
			socket.once('error', () => {
				resolve(undefined);
			});
		});
		const opened = await this.#options.clock.limit(opening, this.#options.timeoutMs);
		if (!opened) {
			socket.terminate();
		}

		return opened;
	}

	override close(): void {
		for (const server of this.#servers) {
			server.close();
		}
	}

	/** The constructor throws for an address that isn't a URL; addresses come from other hosts. */
	#createSocket(target: string): ws.WebSocket | undefined {
		try {
			return new ws.WebSocket(`ws://${target}/`, {perMessageDeflate: compressionOptions});
		} catch (error) {
			this.#options.warn('link not opened', {reason: `${target}: ${String(error)}`});
			return undefined;
		}
	}
}
