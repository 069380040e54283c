/**
Client of the platform's promotion API.
*/
import * as Either from 'fp-ts/lib/Either.js';
import * as errors from '../core/errors.js';
import * as authority from '../entry/authority.js';
import type * as http from './http.js';

/** Timeout of one call. Calls without a response are repeated, so it is just above the response time of a slow platform. */
const timeoutMs = 400;
const statusOk = 200;
const statusConflict = 409;
/** Responses to calls of which nothing was done: too many calls, or the platform is unavailable. */
const notRunStatuses: ReadonlySet<number> = new Set([429, 503]);

/** Sends promotion requests over HTTP. */
export class Authority extends authority.Authority {
	readonly #client: http.Client;

	constructor(client: http.Client) {
		super();
		this.#client = client;
	}

	override async promote({service, server, holder, token}: authority.Request): Promise<errors.Outcome<authority.Result>> {
		const outcome = await this.#client.call({
			method: 'POST',
			path: '/promotion',
			headers: {'x-lease-holder': holder, 'x-fencing-token': String(token)},
			body: {service, id: server},
			timeoutMs,
		});
		if (Either.isLeft(outcome)) {
			return outcome;
		}

		switch (outcome.right.status) {
			case statusOk: {
				return Either.right('accepted');
			}

			case statusConflict: {
				return Either.right('refused');
			}

			default: {
				return errors.fail(notRunStatuses.has(outcome.right.status) ? 'not-run' : 'store', 'store', service, `promotion: HTTP status ${outcome.right.status}`);
			}
		}
	}
}
