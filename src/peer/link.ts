/**
Links between entry hosts, as interfaces. `socket.ts` implements them; tests use links in memory.
*/
import type * as types from '../generated/types.js';

/** What became of a message: still queued here, or given to the socket, so that the peer may have it. */
export type Delivery = {state: 'queued' | 'written'};

/** One link for messages of one union. Messages arrive complete and in order, or not at all once the link is closed. */
export abstract class Link<M = types.Message> {
	/** Aborts when the link is closed by either side or is silent for too long. */
	abstract readonly closed: AbortSignal;

	/** Queues a message. */
	abstract send(message: M): Delivery;

	/** The next message, or `undefined` at the end of the link. */
	abstract next(): Promise<M | undefined>;

	/** Closes the link once the peer has everything that was sent. */
	abstract finish(): Promise<void>;

	/** Closes the link at once. A reason is logged; without one the end is ordinary. */
	abstract close(reason?: string): void;
}

/** Opens and accepts links. */
export abstract class Transport<M = types.Message> {
	/** Listens on IP:port and gives the address with the real port. */
	abstract listen(address: string, accept: (link: Link<M>) => void): Promise<string>;

	/** Opens a link to IP:port; `undefined` if that fails. */
	abstract open(address: string): Promise<Link<M> | undefined>;

	/** Accepts no further links. */
	abstract close(): void;
}
