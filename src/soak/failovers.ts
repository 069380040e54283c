/**
Checks that lost primaries are replaced in time.
*/
import type * as clock from '../core/clock.js';
import type * as contacts from './contact.js';
import type * as replicated from './replicated.js';

/** Time from the loss of a primary until writes succeed at another one. */
export const failoverMs = 15_000;

export type Options = {
	readonly clock: clock.Clock;
	readonly contact: contacts.Contact;
	/** Clock time of the last write of a group that its caller saw acknowledged. */
	readonly lastAcknowledgedAt: (group: string) => number;
};

type Loss = {readonly server: replicated.Server; readonly at: number; replacedAt: number | undefined; isOverdue: boolean};

/** Tracks the loss of primaries and collects violations. */
export class Failovers {
	readonly violations: string[] = [];
	readonly #options: Options;
	readonly #losses = new Map<string, Loss>();

	constructor(options: Options) {
		this.#options = options;
	}

	/** Whether the group's primary was not replaced in time. */
	isOverdue(group: string): boolean {
		return this.#losses.get(group)?.isOverdue ?? false;
	}

	/**
	Updates the state of a group. The bound counts from the loss, or from the last disturbance of `scopes` if that was
	later: the store, all hosts, and the group's other servers.
	*/
	update({name, servers}: replicated.Group, scopes: readonly contacts.Scope[]): void {
		const now = this.#options.clock.now();
		const primary = servers.find(({role}) => role === 'primary');
		const loss = this.#losses.get(name);
		if (primary?.isUnresponsive && loss?.server !== primary) {
			this.#losses.set(name, {
				server: primary, at: now, replacedAt: undefined, isOverdue: false,
			});
		} else if (loss) {
			this.#updateLoss(name, loss, primary, scopes);
		}
	}

	#updateLoss(group: string, loss: Loss, primary: replicated.Server | undefined, scopes: readonly contacts.Scope[]): void {
		const now = this.#options.clock.now();
		if (primary !== loss.server) {
			loss.replacedAt ??= now;
		}

		const isOver = loss.replacedAt === undefined ? !loss.server.isUnresponsive : this.#options.lastAcknowledgedAt(group) > loss.replacedAt;
		if (isOver) {
			this.#losses.delete(group);
		} else if (!loss.isOverdue && now - Math.max(loss.at, this.#options.contact.quietSince(scopes)) > failoverMs) {
			loss.isOverdue = true;
			this.violations.push(`failover: no write of ${group} was acknowledged at a new primary within ${failoverMs} ms of the loss of ${loss.server.id}`);
		}
	}
}
