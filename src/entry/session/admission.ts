/**
Admission of one session: whether the configuration in force admits its key, and its operations within the quota of its
customer.
*/
import type * as types from '../../generated/types.js';
import type * as caller from '../caller.js';
import type * as activities from '../customers/activity.js';
import * as authorization from '../customers/authorization.js';
import * as directories from '../customers/directory.js';
import type * as limiters from '../customers/limiter.js';
import type * as deployment from '../deployment.js';
import * as jobs from '../job.js';
import * as statement from '../statement.js';

export type Options = {
	readonly context: jobs.Context;
	readonly deployment: deployment.Deployment;
	readonly limiter: limiters.Limiter;
	/** Counts by customer. */
	readonly activity?: activities.Activity;
	/** Whether the configuration is recent enough to serve customers. Always, if absent. */
	readonly isCurrent?: () => boolean;
};

/** The session that is admitted. */
export type Admitted = {
	readonly isInTransaction: boolean;
	/** Closes the session now, or after the reply to the request in progress. */
	readonly close: () => void;
};

/** Why an opening message is refused. */
export type Rejection = {readonly refusal: statement.Refusal; readonly message: string};

/** Why customers aren't served by a host that can reach neither the store nor another host. */
const outdatedReason = 'the configuration of this host is too old';

/** Callers time out when a session takes 2 s to open. */
const openTimeoutMs = 1700;

/** Admits one session and its operations. */
export class Admission {
	readonly #options: Options;
	readonly #admitted: Admitted;
	#database = '';
	#keyDigest = '';
	/** How the session was admitted; `undefined` before. */
	#grant: authorization.Grant | undefined;
	/** Whether a version of the configuration has ended the session's admission. */
	#isRevoked = false;
	/** Answer of the quota to the operation in progress, or to the last one; `undefined` without a customer. */
	#quotaAnswer: limiters.Admission | undefined;

	constructor(options: Options, admitted: Admitted) {
		this.#options = options;
		this.#admitted = admitted;
	}

	get isRevoked(): boolean {
		return this.#isRevoked;
	}

	/** Admits the session, and returns the route that it starts with, or why it is refused. */
	async open({database, key}: caller.Opening): Promise<types.Route | Rejection> {
		this.#database = database;
		this.#keyDigest = directories.digest(key);
		if (!await this.#options.deployment.awaitFirst(openTimeoutMs)) {
			return {refusal: 'busy', message: 'not run: this host has no configuration yet'};
		}

		const route = this.#options.deployment.route(database);
		if (!route) {
			return {refusal: 'no-database', message: database};
		}

		const grant = this.#authorize(route);
		if (!grant) {
			return this.#reject(route, undefined, {refusal: 'unauthorized', message: 'the key is unknown'});
		}

		if (grant.kind === 'customer' && !this.#isCurrent) {
			return this.#reject(route, grant.customer.name, {refusal: 'busy', message: outdatedReason});
		}

		this.#admitAs(grant);
		return route;
	}

	/** Ends the admission, when the session has ended. */
	end(): void {
		this.#admitAs(undefined);
	}

	/**
	Closes the session if the configuration in force doesn't admit it. Returns the name of its customer, or an empty name if
	it has none, if it is closed by this call.
	*/
	review(): string | undefined {
		const route = this.#options.deployment.route(this.#database);
		if (!this.#grant || this.#isRevoked || (this.#grant.kind === 'public' && !route)) {
			return undefined;
		}

		const current = this.#authorize(route);
		if (authorization.mayContinue(this.#grant, current, this.#admitted.isInTransaction)) {
			if (this.#grant.kind === 'unrestricted') {
				this.#admitAs(current);
			}

			return undefined;
		}

		this.#isRevoked = true;
		this.#admitted.close();
		return authorization.customerName(this.#grant) ?? '';
	}

	/** Name of the customer for which the session uses a route under the configuration in force. */
	customerName(route: types.Route): string | undefined {
		return authorization.customerName(this.#authorize(route));
	}

	/** Counts an operation against the customer's quota, and returns a refusal if it may not run. */
	async limit(job: jobs.Job): Promise<statement.Reply | undefined> {
		const customer = job.customer === undefined ? undefined : this.#options.deployment.customers?.get(job.customer);
		if (!customer) {
			return undefined;
		}

		if (!this.#isCurrent) {
			this.#options.activity?.refused(customer.name, 'busy');
			return jobs.refuse(this.#options.context, job, outdatedReason);
		}

		const answer = await this.#options.limiter.admit(customer);
		this.#quotaAnswer = answer;
		if (answer.kind !== 'admitted') {
			this.#options.activity?.refused(customer.name, answer.kind === 'limited' ? 'over-quota' : 'busy');
			const reason = answer.kind === 'limited' ? 'the customer is over its quota' : 'the quota can\'t be checked';
			return jobs.refuse(this.#options.context, job, reason, answer.retryAfterMs);
		}

		// A version that removes the key may have arrived while the quota was checked.
		this.review();
		if (this.#isRevoked) {
			this.#options.limiter.release(customer, answer);
			return this.refuseRevoked();
		}

		this.#options.activity?.admitted(customer.name);
		return undefined;
	}

	/** Returns an operation that did not run to the customer's quota, and counts it as refused. */
	countRefused({customer: name}: jobs.Job, reply: statement.Reply): void {
		const customer = name === undefined ? undefined : this.#options.deployment.customers?.get(name);
		if (customer && this.#quotaAnswer && statement.isNotRun(reply)) {
			this.#options.limiter.release(customer, this.#quotaAnswer);
			this.#options.activity?.refused(customer.name, 'busy');
		}
	}

	/** Refuses a request after the session's admission has ended. */
	refuseRevoked(): statement.Reply {
		this.#options.activity?.refused(authorization.customerName(this.#grant), 'unauthorized');
		return statement.refuse('unauthorized', 'the key is no longer valid', 'none');
	}

	/** Whether the configuration is recent enough to serve customers. */
	get #isCurrent(): boolean {
		return this.#options.isCurrent?.() ?? true;
	}

	/** How the session is admitted to a route under the configuration in force; `undefined` if it isn't. */
	#authorize(route: types.Route | undefined): authorization.Grant | undefined {
		return authorization.authorize(this.#options.deployment.customers, route, this.#keyDigest);
	}

	#admitAs(grant: authorization.Grant | undefined): void {
		const [before, after] = [authorization.customerName(this.#grant), authorization.customerName(grant)];
		this.#grant = grant;
		if (before !== undefined) {
			this.#options.activity?.closed(before);
		}

		if (after !== undefined) {
			this.#options.activity?.opened(after);
		}
	}

	/** Records that the opening of a session is refused. A refusal as busy says that nothing has run. */
	#reject({service, name}: types.Route, customer: string | undefined, {refusal, message}: Rejection): Rejection {
		this.#options.activity?.refused(customer, refusal === 'busy' ? 'busy' : 'unauthorized');
		this.#options.context.decisions.request('session-refused', '', {service, route: name, reason: message});
		return {refusal, message: refusal === 'busy' ? `not run: ${message}` : message};
	}
}
