/**
Customers of the soak test: their keys and quotas, and checks of both from what backend servers execute.
*/
import type * as clock from '../core/clock.js';
import * as configurations from './configurations.js';
import type * as contacts from './contact.js';

/** A request of a customer's caller, as it was sent. `operation` is its own id, or that of its transaction's BEGIN. */
export type Request = {
	readonly id: string;
	readonly operation: string;
	readonly customer: number;
	readonly key: string;
	readonly host: number;
	/** Clock time in ms just before the operation was sent. */
	readonly sentAt: number;
};

type Operation = {readonly customer: number; readonly sentAt: number; readonly executedAt: number};

/** Quota of the first customer, whose callers send more, and of the others. */
const scarceQuota = {perS: 8, burst: 8};
const ampleQuota = {perS: 400, burst: 400};
/** The bound on the operations of a window, as the hosts get it in their settings. */
export const bound = {windowS: 5, overage: 0.1, slack: 20};

/** Holds the customers and records what their callers send and what servers execute. */
export class Customers {
	readonly violations: string[] = [];
	readonly #clock: clock.Clock;
	readonly #contact: contacts.Contact;
	/** Number of key changes of each customer; its present key carries it. */
	readonly #generations: number[];
	readonly #removedAt = new Map<string, number>();
	readonly #requests = new Map<string, Request>();
	readonly #operations = new Map<string, Operation>();

	constructor(time: clock.Clock, contact: contacts.Contact, count: number) {
		this.#clock = time;
		this.#contact = contact;
		this.#generations = Array.from({length: count}, () => 0);
	}

	get count(): number {
		return this.#generations.length;
	}

	/** Name with which servers know a customer. */
	name(customer: number): string {
		return `customer-${customer}`;
	}

	/** The present key of a customer. */
	key(customer: number): string {
		return `key-${customer}-${this.#generations[customer]}`;
	}

	/** The customers as the operators write them into a configuration. */
	format(): unknown[] {
		return this.#generations.map((_, customer) => {
			const {perS, burst} = customer === 0 ? scarceQuota : ampleQuota;
			return {
				name: this.name(customer), apiKeys: [this.key(customer)], priority: 1, perS, burstSize: burst,
			};
		});
	}

	/** Replaces the key of a customer. The caller of this method writes the configuration. */
	replaceKey(customer: number): void {
		this.#removedAt.set(this.key(customer), this.#clock.now());
		this.#generations[customer]++;
	}

	/** Records a request that a caller is about to send. */
	recordRequest(request: Request): void {
		this.#requests.set(request.id, request);
	}

	/** Records that a server executes a request on a connection of the customer named `connectionCustomer`. */
	recordExecution(id: string, connectionCustomer: string): void {
		const request = this.#requests.get(id);
		if (!request) {
			return;
		}

		const {customer, key, host, sentAt, operation} = request;
		if (connectionCustomer !== this.name(customer)) {
			this.violations.push(`customer: ${id} of ${this.name(customer)} ran on a connection of ${connectionCustomer}`);
		}

		const removedAt = this.#removedAt.get(key) ?? Number.POSITIVE_INFINITY;
		const isInTouch = this.#clock.now() - this.#contact.quietSince(['store', 'hosts', `host ${host}`]) >= configurations.contactMs;
		if (isInTouch && sentAt > removedAt + configurations.configurationMs) {
			this.violations.push(`revoked: ${id} was sent ${Math.round(sentAt - removedAt)} ms after its key was removed, and ran`);
		}

		if (!this.#operations.has(operation)) {
			this.#operations.set(operation, {customer, sentAt, executedAt: this.#clock.now()});
		}
	}

	/** Records the first line of the reply to an opening with a key that no configuration has had. */
	recordUnknownKey(reply: string | undefined): void {
		if (reply?.startsWith('READY')) {
			this.violations.push('unauthorized: a session was opened with a key that no configuration has had');
		}
	}

	/** Checks every window of the quotas. Operations count if they were both sent and executed within it. */
	checkQuotas(): void {
		for (const customer of this.#generations.keys()) {
			const {perS, burst} = customer === 0 ? scarceQuota : ampleQuota;
			const limit = (((perS * bound.windowS) + burst) * (1 + bound.overage)) + bound.slack;
			const most = findBusiestWindow([...this.#operations.values()].filter(operation => operation.customer === customer));
			if (most > limit) {
				this.violations.push(`quota: ${most} operations of ${this.name(customer)} ran within ${bound.windowS} s, more than ${Math.floor(limit)}`);
			}
		}
	}
}

/**
The largest number of operations that were sent and executed within one window.

@example
```
findBusiestWindow([{customer: 0, sentAt: 0, executedAt: 10}]); //=> 1
```
*/
export function findBusiestWindow(operations: readonly Operation[]): number {
	const counts = operations.map(({sentAt: start}) => operations.filter(({sentAt, executedAt}) => sentAt >= start && executedAt <= start + (bound.windowS * 1000)).length);
	return Math.max(0, ...counts);
}
