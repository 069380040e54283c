/**
The connections of one listener, whose number is limited so that descriptors remain for servers, other hosts and the
store. At the limit a connection that was never opened makes room for a new one, else the one that is idle for longest.
*/
import type * as guests from './guest.js';

/** The slots of one listener. */
export class Slots {
	readonly limit: number;
	/** Connections that were never opened, in the order of their arrival. */
	readonly #silent = new Set<guests.Guest>();
	readonly #opened = new Set<guests.Guest>();

	constructor(limit: number) {
		this.limit = limit;
	}

	get size(): number {
		return this.#silent.size + this.#opened.size;
	}

	/** Takes a slot for a new connection, and evicts another one at the limit. Returns false if all are busy. */
	enter(guest: guests.Guest): boolean {
		if (this.size >= this.limit) {
			const evicted = this.#findEvictable();
			if (!evicted) {
				return false;
			}

			this.leave(evicted);
			evicted.shed('descriptors');
		}

		this.#silent.add(guest);
		return true;
	}

	/** Records that a connection was opened, so that silent ones are evicted before it. */
	open(guest: guests.Guest): void {
		if (this.#silent.delete(guest)) {
			this.#opened.add(guest);
		}
	}

	leave(guest: guests.Guest): void {
		this.#silent.delete(guest);
		this.#opened.delete(guest);
	}

	#findEvictable(): guests.Guest | undefined {
		const [silent] = this.#silent;
		if (silent) {
			return silent;
		}

		let longest: guests.Guest | undefined;
		for (const guest of this.#opened) {
			if (guest.idleSince !== undefined && guest.idleSince < (longest?.idleSince ?? Number.POSITIVE_INFINITY)) {
				longest = guest;
			}
		}

		return longest;
	}
}
