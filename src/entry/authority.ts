/**
Interface of the external authority that carries out promotions.
*/
import type * as errors from '../core/errors.js';

/** A request to make a server the primary of its service. */
export type Request = {
	readonly service: string;
	readonly server: string;
	/** Name of the requesting host. */
	readonly holder: string;
	/** Fencing token: the authority refuses a request whose token is lower than one it has received for the service. */
	readonly token: number;
};

/** Result of a request. A request is refused if a higher token was received before or the server isn't running. */
export type Result = 'accepted' | 'refused';

export abstract class Authority {
	/** Requests a promotion. After a failure of kind `store`, the promotion may or may not be carried out, after `not-run` it isn't. */
	abstract promote(request: Request): Promise<errors.Outcome<Result>>;
}
