/**
A TCP relay between two ends, with the faults of a network: delay, connections that go silent, connections that are cut
at once or after a number of bytes, and refused connections.

Interface: `Relay.start(target, delayMs)` listens on a free port of 127.0.0.1 and passes each connection to `target`.
`near` is the end that connects to the relay and `far` the target. `set` changes the delay, whether connections are
refused and in which directions nothing passes any more, on new connections as well. `silence` and `cut` affect the
connections that are open now, and `cutAfter` sets a byte count for them.
*/
import * as net from 'node:net';
import * as clock from '../core/clock.js';

/** Where connections are passed to. */
export type Target = {readonly host: string; readonly port: number};

/** The way that bytes travel. */
export type Direction = 'toFar' | 'toNear';

/**
Settings that can change while the relay runs. `delayMs` is one-way. What arrives in a silent direction is lost, and so
is the rest of its connection in that direction.
*/
export type Faults = {delayMs: number; isRefusing: boolean; silent: readonly Direction[]};

/** Both ways. */
export const directions: readonly Direction[] = ['toFar', 'toNear'];

type Pair = {
	readonly near: net.Socket;
	readonly far: net.Socket;
	isSilent: boolean;
	/** Directions in which bytes were lost. */
	readonly lost: Set<Direction>;
	/** Bytes that still pass in each direction before the connection is cut. */
	readonly left: Record<Direction, number>;
};

/**
Time in ms after which the far end drops a silent connection whose near end is closed, as keep-alive does. Without it
an orphaned transaction of the database stand-in would hold its write lock for ever.
*/
const orphanLimitMs = 300;

/** Time in ms within which this process notices that an end has closed a connection before it opened the next. */
const closingMs = 20;

/** A running relay. */
export class Relay {
	static async start(target: Target, delayMs = 0): Promise<Relay> {
		const relay = new Relay(target, delayMs);
		await new Promise<void>(resolve => {
			relay.#listener.listen(0, '127.0.0.1', resolve);
		});
		return relay;
	}

	readonly #target: Target;
	readonly #faults: Faults;
	readonly #clock = new clock.System();
	readonly #pairs = new Set<Pair>();
	#mostOpen = 0;
	readonly #listener = net.createServer(near => {
		this.#accept(near);
	});

	private constructor(target: Target, delayMs: number) {
		this.#target = target;
		this.#faults = {delayMs, isRefusing: false, silent: []};
	}

	/** The port on which the relay listens. */
	get port(): number {
		return (this.#listener.address() as net.AddressInfo).port;
	}

	/** Most connections whose near end was open at the same time, not counting those that close within `closingMs`. */
	get mostOpen(): number {
		return this.#mostOpen;
	}

	/** Changes the delay, and whether new connections are refused. */
	set(change: Partial<Faults>): void {
		Object.assign(this.#faults, change);
	}

	/** Makes the connections that are open now pass nothing more, not even their end. */
	silence(): void {
		for (const pair of this.#pairs) {
			pair.isSilent = true;
		}
	}

	/** Closes the connections that are open now. */
	cut(): void {
		for (const pair of this.#pairs) {
			close(pair);
		}
	}

	/** Lets each connection that is open now pass `bytes` more in one direction, then cuts it. */
	cutAfter(direction: Direction, bytes: number): void {
		for (const pair of this.#pairs) {
			pair.left[direction] = bytes;
		}
	}

	/** Stops listening and closes every connection. */
	stop(): void {
		this.#listener.close();
		this.cut();
	}

	#accept(near: net.Socket): void {
		if (this.#faults.isRefusing) {
			near.on('error', ignore).resetAndDestroy();
			return;
		}

		const far = net.connect(this.#target);
		const pair: Pair = {
			near, far, isSilent: false, lost: new Set(), left: {toFar: Number.POSITIVE_INFINITY, toNear: Number.POSITIVE_INFINITY},
		};
		this.#pairs.add(pair);
		void this.#count();
		this.#pass(pair, 'toFar');
		this.#pass(pair, 'toNear');
	}

	/** Passes one direction. Bytes keep their order when the delay changes. */
	#pass(pair: Pair, direction: Direction): void {
		const [from, to] = direction === 'toFar' ? [pair.near, pair.far] : [pair.far, pair.near];
		let passed = Promise.resolve();
		const after = (action: () => void): void => {
			const due = this.#clock.now() + this.#faults.delayMs;
			const previous = passed;
			passed = (async () => {
				await previous;
				await this.#clock.sleep(due - this.#clock.now());
				action();
			})();
		};

		from.setNoDelay(true);
		from.on('error', ignore);
		from.on('data', chunk => {
			after(() => {
				if (this.#faults.silent.includes(direction)) {
					pair.lost.add(direction);
				}

				send(pair, direction, chunk, to);
			});
		});
		from.on('close', () => {
			if (pair.isSilent) {
				void this.#orphan(pair);
			} else {
				after(() => {
					close(pair);
					this.#pairs.delete(pair);
				});
			}
		});
	}

	async #count(): Promise<void> {
		const present = [...this.#pairs];
		await this.#clock.sleep(closingMs);
		this.#mostOpen = Math.max(this.#mostOpen, present.filter(({near}) => !near.destroyed).length);
	}

	async #orphan(pair: Pair): Promise<void> {
		await this.#clock.sleep(orphanLimitMs);
		close(pair);
		this.#pairs.delete(pair);
	}
}

function send(pair: Pair, direction: Direction, chunk: Uint8Array, to: net.Socket): void {
	if (pair.isSilent || pair.lost.has(direction) || to.destroyed) {
		return;
	}

	const {left} = pair;
	const part = chunk.subarray(0, left[direction]);
	left[direction] -= part.length;
	if (part.length === chunk.length) {
		to.write(part);
		return;
	}

	to.write(part, () => {
		close(pair);
	});
}

function close({near, far}: Pair): void {
	near.destroy();
	far.destroy();
}

function ignore(): void {
	// The close event that follows is what matters.
}
