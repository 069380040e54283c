/**
In-memory links between entry hosts, with a delay. Tests can close the links, or make one drop everything that it sends.
*/
import type * as types from '../../generated/types.js';
import type * as clock from '../../core/clock.js';
import * as link from '../../peer/link.js';

type Message = types.EntryMessage;

const oneWayDelayMs = 4;

/** One end of a link. */
export class End extends link.Link<Message> {
	dropsOutput = false;
	readonly #time: clock.Clock;
	readonly #closed: AbortController;
	readonly #incoming: Message[] = [];
	#wake: (() => void) | undefined;
	#remote: End | undefined;
	constructor(time: clock.Clock, closed: AbortController) {
		super();
		this.#time = time;
		this.#closed = closed;
		closed.signal.addEventListener('abort', () => {
			this.#wake?.();
		});
	}

	override get closed(): AbortSignal {
		return this.#closed.signal;
	}

	connect(remote: End): void {
		this.#remote = remote;
	}

	receive(message: Message): void {
		this.#incoming.push(message);
		this.#wake?.();
	}

	override send(message: Message): link.Delivery {
		void this.#deliver(structuredClone(message));
		return {state: this.closed.aborted ? 'queued' : 'written'};
	}

	override async next(): Promise<Message | undefined> {
		while (this.#incoming.length === 0 && !this.closed.aborted) {
			await new Promise<void>(resolve => {
				this.#wake = resolve;
			});
		}

		return this.closed.aborted ? undefined : this.#incoming.shift();
	}

	override async finish(): Promise<void> {
		this.close();
	}

	override close(): void {
		this.#closed.abort();
	}

	async #deliver(message: Message): Promise<void> {
		await this.#time.sleep(oneWayDelayMs);
		if (!this.dropsOutput && !this.closed.aborted) {
			this.#remote?.receive(message);
		}
	}
}

/** All hosts of a test. */
export class Network {
	readonly ends: End[] = [];
	readonly #time: clock.Clock;
	readonly #listeners = new Map<string, (accepted: link.Link<Message>) => void>();

	constructor(time: clock.Clock) {
		this.#time = time;
	}

	/** Accepts links to an address. */
	listen(address: string, accept: (accepted: link.Link<Message>) => void): void {
		this.#listeners.set(address, accept);
	}

	/** Refuses links to an address. */
	refuse(address: string): void {
		this.#listeners.delete(address);
	}

	/** Closes all links. */
	closeLinks(): void {
		for (const end of this.ends) {
			end.close();
		}
	}

	async open(address: string): Promise<link.Link<Message> | undefined> {
		await this.#time.sleep(2 * oneWayDelayMs);
		const accept = this.#listeners.get(address);
		if (!accept) {
			return undefined;
		}

		const closed = new AbortController();
		const [near, far] = [new End(this.#time, closed), new End(this.#time, closed)];
		near.connect(far);
		far.connect(near);
		this.ends.push(near, far);
		accept(far);
		return near;
	}
}

/** A host's side of a network. */
export class Transport extends link.Transport<Message> {
	readonly #network: Network;

	constructor(network: Network) {
		super();
		this.#network = network;
	}

	override async listen(address: string, accept: (accepted: link.Link<Message>) => void): Promise<string> {
		this.#network.listen(address, accept);
		return address;
	}

	override async open(address: string): Promise<link.Link<Message> | undefined> {
		return this.#network.open(address);
	}

	override close(): void {
		// Tests stop listening with `refuse`.
	}
}
