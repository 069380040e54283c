/**
The connections of one listener, whose number is limited so that descriptors remain for servers, other hosts and the
store. At the limit a connection that was never opened makes room for a new one, else the one that is idle for longest.
*/
import type * as inbound from './inbound.js';

/** The slots of one listener. */
export class Slots {
	readonly limit: number;
	/** Connections that were never opened, in the order of their arrival. */
	readonly #silent = new Set<inbound.Connection>();
	readonly #opened = new Set<inbound.Connection>();

	constructor(limit: number) {
		this.limit = limit;
	}

	get size(): number {
		return this.#silent.size + this.#opened.size;
	}

	/** Takes a slot for a new connection, and evicts another one at the limit. Returns false if all are busy. */
	enter(connection: inbound.Connection): boolean {
		if (this.size >= this.limit) {
			const evicted = this.#findEvictable();
			if (!evicted) {
				return false;
			}

			this.leave(evicted);
			evicted.shed('descriptors');
		}

		this.#silent.add(connection);
		return true;
	}

	/** Records that a connection was opened, so that silent ones are evicted before it. */
	open(connection: inbound.Connection): void {
		if (this.#silent.delete(connection)) {
			this.#opened.add(connection);
		}
	}

	leave(connection: inbound.Connection): void {
		this.#silent.delete(connection);
		this.#opened.delete(connection);
	}

	#findEvictable(): inbound.Connection | undefined {
		const [silent] = this.#silent;
		if (silent) {
			return silent;
		}

		let longest: inbound.Connection | undefined;
		for (const connection of this.#opened) {
			if (connection.idleSince !== undefined && connection.idleSince < (longest?.idleSince ?? Number.POSITIVE_INFINITY)) {
				longest = connection;
			}
		}

		return longest;
	}
}
