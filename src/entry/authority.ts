/**
The outside authority that carries out promotions, as an interface.
*/
import type * as errors from '../core/errors.js';

/** An order to make a server primary of its service. */
export type Order = {
	readonly service: string;
	readonly server: string;
	/** Name of the host that gives the order. */
	readonly holder: string;
	/** Fencing token: the authority refuses an order with a lower one than it has seen for the service. */
	readonly token: number;
};

/** What became of an order: accepted, or refused since a higher token was seen or the server isn't running. */
export type Verdict = 'accepted' | 'refused';

/** Takes orders. */
export abstract class Authority {
	/** Gives an order. A failure of kind `store` leaves open whether it is or will be carried out. */
	abstract promote(order: Order): Promise<errors.Outcome<Verdict>>;
}
