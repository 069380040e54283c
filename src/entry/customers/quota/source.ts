/**
A host that counts a customer, as a host asks it for operations.
*/
import * as Either from 'fp-ts/lib/Either.js';
import type * as peers from '../../peer.js';
import type * as counters from './counters.js';
import type * as counter from './counter.js';

/** Grants operations. */
export abstract class Source {
	abstract readonly name: string;
	abstract readonly distance: counters.Distance;
	/** Whether a request would reach it without delay, as far as is known. */
	abstract readonly isOpen: boolean;
	/** Whether it may be asked; false after a failure until it can be reached again. */
	abstract readonly isUsable: boolean;

	/** Opens a connection in the background. */
	abstract connect(): void;

	/** Asks for operations; `undefined` if no answer arrives within `timeoutMs`. */
	abstract request(customer: string, wanted: number, timeoutMs: number): Promise<counter.Grant | undefined>;
}

/** This host's own counter. */
export class Local extends Source {
	override readonly name: string;
	override readonly distance = 'same host';
	override readonly isOpen = true;
	override readonly isUsable = true;
	readonly #counter: counter.Counter;

	constructor(name: string, own: counter.Counter) {
		super();
		this.name = name;
		this.#counter = own;
	}

	override connect(): void {
		// Nothing has to be opened.
	}

	override async request(customer: string, wanted: number): Promise<counter.Grant> {
		return this.#counter.take(customer, wanted);
	}
}

/** A counter on another host. */
export class Remote extends Source {
	override readonly distance: counters.Distance;
	readonly #peer: peers.Peer;
	readonly #confirm: (host: string, view: number) => void;

	/** `confirm` is told which view of the hosts each answer is based on. */
	constructor(peer: peers.Peer, distance: counters.Distance, confirm: (host: string, view: number) => void) {
		super();
		this.distance = distance;
		this.#peer = peer;
		this.#confirm = confirm;
	}

	override get name(): string {
		return this.#peer.name;
	}

	override get isOpen(): boolean {
		return this.#peer.isOpen;
	}

	override get isUsable(): boolean {
		return this.#peer.isUsable;
	}

	override connect(): void {
		this.#peer.connect();
	}

	override async request(customer: string, wanted: number, timeoutMs: number): Promise<counter.Grant | undefined> {
		const outcome = await this.#peer.lease({customer, count: wanted}, timeoutMs);
		if (Either.isLeft(outcome)) {
			return undefined;
		}

		this.#confirm(this.name, outcome.right.view);
		return outcome.right;
	}
}
