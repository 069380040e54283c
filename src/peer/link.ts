/**
Abstract links between entry hosts. `socket.ts` implements them over WebSocket; tests use in-memory links.
*/
import type * as types from '../generated/types.js';

/** Delivery state of a message: queued on this host, or written to the socket, so that the peer may have received it. */
export type Delivery = {state: 'queued' | 'written'};

/** A link for the messages of one union type. Messages arrive complete and in order until the link closes, none afterwards. */
export abstract class Link<M = types.Message> {
	/** Aborts when either side closes the link or the peer does not respond in time. */
	abstract readonly closed: AbortSignal;

	/** Whether a request that arrives now should be refused, since those of this link in execution take too much memory. */
	get isOverloaded(): boolean {
		return false;
	}

	/** Records that a message which `next` returned has been handled, so that its memory no longer counts. */
	settle(_message: M): void {
		// Only links that count memory need it.
	}

	/** Queues a message. */
	abstract send(message: M): Delivery;

	/** The next message, or `undefined` once the link is closed. */
	abstract next(): Promise<M | undefined>;

	/** Closes the link after the peer has received all sent messages. */
	abstract finish(): Promise<void>;

	/** Closes the link immediately. A given reason is logged; a regular close has none. */
	abstract close(reason?: string): void;
}

/** Opens and accepts links. */
export abstract class Transport<M = types.Message> {
	/** Listens on IP:port and returns the address with the bound port. */
	abstract listen(address: string, accept: (link: Link<M>) => void): Promise<string>;

	/** Opens a link to IP:port; resolves to `undefined` on failure. */
	abstract open(address: string): Promise<Link<M> | undefined>;

	/** Stops accepting links; open ones stay open. */
	abstract close(): void;
}
