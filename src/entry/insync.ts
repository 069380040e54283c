/**
The in-sync set of one service: the servers, by their incarnation, that together hold every acknowledged commit. The store
keeps it, so that a host which starts knows which logs are complete, and which servers it has to miss.

A server joins the set once its log was compared with the leader's. It leaves the set only when the others were compared
after it disappeared, so a set that is out of date names too many servers and never too few.
*/
import type * as types from '../generated/types.js';
import type * as clock from '../core/clock.js';
import type * as member from './member.js';

/** Servers of a new service start within this time of each other. */
const startupWindowMs = 10_000;

/** What one host knows of the set of one service. */
export class InSync {
	readonly #clock: clock.Clock;
	/** The stored set as last read; `undefined` if the store has none. */
	#stored: readonly types.Incarnation[] | undefined;
	#isLoaded = false;
	/** Servers of the stored set that this host has not seen, by key, and the clock time since which they are missed. */
	#missing = new Map<string, types.Incarnation>();
	#missingSince = Number.NEGATIVE_INFINITY;
	/** Keys of the servers of the stored set that this host need not miss: it saw them leave, or compared the logs since. */
	readonly #departed = new Set<string>();

	constructor(time: clock.Clock) {
		this.#clock = time;
	}

	/** Whether the stored set has been read since this host started. */
	get isLoaded(): boolean {
		return this.#isLoaded;
	}

	/** Whether the store has a set. */
	get isStored(): boolean {
		return this.#stored !== undefined;
	}

	/** Takes over the set read from the store; the first one also tells which servers have a complete log. */
	adopt(stored: readonly types.Incarnation[] | undefined, members: readonly member.Member[]): void {
		if (!this.#isLoaded && stored) {
			for (const server of members) {
				server.assume(has(stored, server.registration));
			}
		}

		this.#isLoaded = true;
		this.#stored = stored;
		const listed = new Set((stored ?? []).map(entry => keyOf(entry)));
		for (const key of this.#departed) {
			if (!listed.has(key)) {
				this.#departed.delete(key);
			}
		}

		const present = new Set(members.map(({registration}) => keyOf(registration)));
		const unseen = (stored ?? []).filter(entry => !present.has(keyOf(entry)) && !this.#departed.has(keyOf(entry)));
		this.#missing = new Map(unseen.map(entry => [keyOf(entry), entry]));
		this.#missingSince = this.#clock.now();
	}

	/**
	Whether the log of a server that has just registered is assumed to be complete: the stored set has this incarnation. While
	there is no set, this is assumed for servers that started together with the rest of the group.
	*/
	isAssumedComplete(registration: types.Registration, members: readonly member.Member[]): boolean {
		if (this.#stored) {
			return has(this.#stored, registration);
		}

		const earliest = Math.min(registration.startedAt, ...members.map(({registration: {startedAt}}) => startedAt));
		return registration.startedAt - earliest < startupWindowMs;
	}

	/** Records that a server has registered. */
	recordArrival(registration: types.Registration): void {
		this.#missing.delete(keyOf(registration));
		this.#departed.delete(keyOf(registration));
	}

	/** Records that a server was removed or has started again. */
	recordDeparture(registration: types.Registration): void {
		this.#departed.add(keyOf(registration));
	}

	/**
	Ids of the servers of the stored set that this host has never seen, and that may have had the only copy of a commit. Once
	all members were compared with a leader since, nothing can be missing with them.
	*/
	missing(members: readonly member.Member[], leader: member.Member | undefined): string[] {
		if (leader && members.every(server => server === leader || server.isVerifiedSince(this.#missingSince))) {
			for (const key of this.#missing.keys()) {
				this.#departed.add(key);
			}

			this.#missing.clear();
		}

		return [...this.#missing.values()].map(({id}) => id);
	}

	/** The set as it should be stored; `undefined` while this host can't tell. */
	current(members: readonly member.Member[], leader: member.Member | undefined): types.Incarnation[] | undefined {
		if (!leader || leader.failingSince !== undefined || this.missing(members, leader).length > 0) {
			return undefined;
		}

		const [complete, others] = [members.filter(server => server === leader || server.isSynchronized), members.filter(server => server !== leader && !server.isSynchronized)];
		const isInDoubt = others.some(({registration}) => this.#stored && has(this.#stored, registration));
		return isInDoubt ? undefined : complete.map(({registration: {id, startedAt}}) => ({id, startedAt})).toSorted((one, other) => one.id < other.id ? -1 : 1);
	}
}

function keyOf({id, startedAt}: types.Incarnation): string {
	return `${id} ${startedAt}`;
}

function has(set: readonly types.Incarnation[], {id, startedAt}: types.Incarnation): boolean {
	return set.some(entry => entry.id === id && entry.startedAt === startedAt);
}
