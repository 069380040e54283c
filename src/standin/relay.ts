/**
A stand-in for a link: a TCP relay with a delay in each direction. It can go silent, as when something between the two
ends has lost the state of their connections, or be cut.
*/
import * as net from 'node:net';
import * as clock from '../core/clock.js';
import * as notifier from '../core/notifier.js';

/** `silent`: open connections carry nothing, new ones are not answered. `cut`: connections are closed and refused. */
export type State = 'open' | 'silent' | 'cut';

/** Direction in which bytes travel, as seen from the side that connects. */
export type Direction = 'forward' | 'backward';

type Chunk = {readonly bytes: Uint8Array; readonly dueAt: number};

const host = '127.0.0.1';

/** A relay to one address. */
export class Relay {
	/** Listens on a free port of 127.0.0.1. `delayMs` is the delay in one direction. */
	static async start(target: {readonly host: string; readonly port: number}, delayMs: number): Promise<Relay> {
		const relay = new Relay(target, delayMs);
		await new Promise<void>(resolve => {
			relay.#server.listen(0, host, resolve);
		});
		return relay;
	}

	/** Delay in ms in each direction. */
	delayMs: number;
	readonly #target: {readonly host: string; readonly port: number};
	readonly #clock = new clock.System();
	readonly #sockets = new Set<net.Socket>();
	readonly #states: Record<Direction, State> = {forward: 'open', backward: 'open'};
	readonly #server = net.createServer({noDelay: true}, socket => {
		this.#accept(socket);
	});

	private constructor(target: {readonly host: string; readonly port: number}, delayMs: number) {
		this.#target = target;
		this.delayMs = delayMs;
	}

	/** Port on which the relay listens. */
	get port(): number {
		return (this.#server.address() as net.AddressInfo).port;
	}

	/** Changes the state of one direction or of both. A cut always concerns both. */
	set(state: State, direction?: Direction): void {
		if (!direction || state === 'cut') {
			this.#states.forward = state;
			this.#states.backward = state;
		} else {
			this.#states[direction] = state;
		}

		if (state === 'cut') {
			this.#closeAll();
		}
	}

	/** Stops listening and closes every connection. */
	stop(): void {
		this.#server.close();
		this.#closeAll();
	}

	#closeAll(): void {
		for (const socket of this.#sockets) {
			socket.destroy();
		}
	}

	#accept(caller: net.Socket): void {
		if (this.#states.forward === 'cut') {
			caller.resetAndDestroy();
			return;
		}

		const target = net.connect({...this.#target, noDelay: true});
		for (const socket of [caller, target]) {
			this.#sockets.add(socket);
			// A close follows every error.
			socket.on('error', () => undefined);
			socket.on('close', () => {
				this.#sockets.delete(socket);
			});
		}

		void this.#carry(caller, target, 'forward');
		void this.#carry(target, caller, 'backward');
	}

	/** The task of one direction of a connection. */
	async #carry(from: net.Socket, to: net.Socket, direction: Direction): Promise<void> {
		const chunks: Chunk[] = [];
		const changed = new notifier.Notifier();
		from.on('data', bytes => {
			chunks.push({bytes, dueAt: this.#clock.now() + this.delayMs});
			changed.notify();
		});
		from.on('close', () => {
			changed.notify();
		});
		while (chunks.length > 0 || !from.destroyed) {
			const chunk = chunks.shift();
			if (!chunk) {
				await changed.next();
				continue;
			}

			await this.#clock.sleep(chunk.dueAt - this.#clock.now());
			// What arrives while a direction is silent is lost, and so is the rest of its connection.
			if (this.#states[direction] === 'silent') {
				return;
			}

			to.write(chunk.bytes);
		}

		await this.#clock.sleep(this.delayMs);
		to.destroySoon();
	}
}
