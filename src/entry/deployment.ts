/**
The operators' configuration on an entry host. A version is only replaced by a higher one.
*/
import type * as types from '../generated/types.js';
import type * as clock from '../core/clock.js';
import * as notifier from '../core/notifier.js';
import * as directories from './customers/directory.js';
import type * as decisions from './decisions.js';

/** Idle timeout of a transaction until a configuration sets one. */
const defaultIdleTransactionMs = 3000;

/** Holds the newest configuration. */
export class Deployment {
	/** Notified when a configuration is accepted. */
	readonly changed = new notifier.Notifier();
	readonly #clock: clock.Clock;
	readonly #decisions: decisions.Decisions;
	#content: types.Deployment | undefined;
	#routes: ReadonlyMap<string, types.Route> = new Map();
	#customers: directories.Directory | undefined;

	constructor(time: clock.Clock, record: decisions.Decisions) {
		this.#clock = time;
		this.#decisions = record;
	}

	get content(): types.Deployment | undefined {
		return this.#content;
	}

	/** The customers; `undefined` if the deployment has none, so that every caller is served. */
	get customers(): directories.Directory | undefined {
		return this.#customers;
	}

	get idleTransactionMs(): number {
		return this.#content?.idleTransactionMs ?? defaultIdleTransactionMs;
	}

	/**
	Accepts a configuration if its version is higher than the current one. `source`, the store or the name of another host,
	and the time since its state was confirmed are logged.
	*/
	accept(content: types.Deployment, source: string, ageMs = 0): void {
		if (this.#content && content.version <= this.#content.version) {
			return;
		}

		this.#decisions.record('configuration-accepted', {
			version: content.version,
			replaced: this.#content?.version ?? 0,
			routes: content.routes.length,
			...(content.customers && {customers: content.customers.length}),
			source,
			ageMs: Math.round(ageMs),
		});
		const effective = this.#keepCustomers(content);
		this.#content = effective;
		this.#routes = new Map(effective.routes.map(route => [route.database, route]));
		this.#customers = effective.customers && new directories.Directory(effective.customers);
		this.changed.notify();
	}

	route(database: string): types.Route | undefined {
		return this.#routes.get(database);
	}

	/** Whether there is a configuration, after waiting up to `timeoutMs` for the first one. */
	async awaitFirst(timeoutMs: number): Promise<boolean> {
		const deadline = this.#clock.now() + timeoutMs;
		for (let remainingMs = timeoutMs; !this.#content && remainingMs > 0; remainingMs = deadline - this.#clock.now()) {
			await this.#clock.limit(this.changed.next(), remainingMs);
		}

		return this.#content !== undefined;
	}

	/**
	Adds the customers in force, and which routes are public, to a version that doesn't say whether there are any. Without
	them, a version whose writer left them out by mistake would serve callers without a key.
	*/
	#keepCustomers(content: types.Deployment): types.Deployment {
		const customers = this.#content?.customers;
		if (content.customers !== undefined || customers === undefined) {
			return content;
		}

		this.#decisions.record('customers-kept', {version: content.version, customers: customers.length});
		return {...content, customers, routes: content.routes.map(route => ({...route, isPublic: this.#routes.get(route.database)?.isPublic === true}))};
	}
}
