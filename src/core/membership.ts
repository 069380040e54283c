/**
The entry hosts known to a host, from the host list in the store, the hellos of peers and the state of links.
*/
import type * as types from '../generated/types.js';
import type * as clock from './clock.js';
import * as ownership from './ownership.js';

export type Member = ownership.Member;

/** Number of peers that must report a listed host unreachable before it counts as gone. The link from this host must have failed too. */
const minReports = 2;
const maxNeighbours = 4;

/** Settings of the membership view. */
export type Options = {
	readonly self: Pick<Member, 'name' | 'place'>;
	readonly hasSeeds: boolean;
	/** Age of the host list in ms above which it is stale. */
	readonly staleMs: number;
};

/** The last hello of a peer, and the time at which its link was lost; undefined while the link is up. */
type Peer = {readonly hello: types.Hello; readonly lostAt: number | undefined};

/** One host's view of the members. */
export class Members {
	readonly #options: Options;
	readonly #clock: clock.Clock;
	readonly #peers = new Map<string, Peer>();
	readonly #unreachable = new Set<string>();
	#listed = new Map<string, types.ListedHost>();
	#leavingServers = new Set<string>();
	#listConfirmedAt = Number.NEGATIVE_INFINITY;
	#isLeaving = false;
	#address = '';

	constructor(options: Options, time: clock.Clock) {
		this.#options = options;
		this.#clock = time;
	}

	/** Time in ms since the store last returned or confirmed the list. */
	get listAgeMs(): number {
		return this.#clock.now() - this.#listConfirmedAt;
	}

	get isListStale(): boolean {
		return this.listAgeMs > this.#options.staleMs;
	}

	get isLeaving(): boolean {
		return this.#isLeaving;
	}

	/** Whether no other host is known from seeds, peers or the list. */
	get isAlone(): boolean {
		return !this.#options.hasSeeds && this.#peers.size === 0 && [...this.#listed.keys()].every(name => name === this.#options.self.name);
	}

	/** Names of the peers with an open link. */
	get linked(): string[] {
		return [...this.#peers].filter(([, {lostAt}]) => lostAt === undefined).map(([name]) => name);
	}

	/** Names of the hosts to which the link was lost or failed to open. */
	get unreachable(): string[] {
		return [...this.#unreachable].toSorted();
	}

	/** Addresses of the backend servers that the list marks as leaving. */
	get leavingServers(): ReadonlySet<string> {
		return this.#leavingServers;
	}

	/** Applies a host list; `isFresh` if it comes directly from the store. */
	applyList(list: types.HostList, isFresh: boolean): void {
		this.#listed = new Map(list.entry.map(host => [host.name, host]));
		this.#leavingServers = new Set(list.backend.filter(({state}) => state === 'leaving').map(({address}) => address));
		for (const [name, {lostAt}] of this.#peers) {
			if (lostAt !== undefined && !this.#listed.has(name)) {
				this.#peers.delete(name);
				this.#unreachable.delete(name);
			}
		}

		if (isFresh) {
			this.confirmList();
		}
	}

	/** Records that the store confirmed the list as unchanged. */
	confirmList(): void {
		this.#listConfirmedAt = this.#clock.now();
	}

	/** Applies a hello that a peer sent over its link. */
	receiveHello(hello: types.Hello): void {
		this.#peers.set(hello.host, {hello, lostAt: undefined});
		this.#unreachable.delete(hello.host);
	}

	/** Records that the link to a host was lost or could not be opened. */
	markUnreachable(name: string): void {
		this.#unreachable.add(name);
		const peer = this.#peers.get(name);
		if (peer && peer.lostAt === undefined) {
			this.#peers.set(name, {hello: peer.hello, lostAt: this.#clock.now()});
		}
	}

	/** Sets this host's address for links, which is known once it listens. */
	setAddress(address: string): void {
		this.#address = address;
	}

	markLeaving(): void {
		this.#isLeaving = true;
	}

	/** Every known host that is not gone, including this host. */
	members(): Member[] {
		const known = new Map<string, Member>();
		known.set(this.#options.self.name, {...this.#options.self, address: this.#address, isLeaving: this.#isLeaving});
		for (const {hello} of this.#peers.values()) {
			const {host: name, place, address} = hello;
			known.set(name, {
				name, place, address, isLeaving: this.#isPeerLeaving(name),
			});
		}

		for (const {name, place, address, state} of this.#listed.values()) {
			const isLeaving = state === 'leaving' || (known.get(name)?.isLeaving ?? false);
			known.set(name, {
				name, place, address, isLeaving,
			});
		}

		return [...known.values()].filter(({name}) => !this.#isGone(name));
	}

	/**
	The hosts among which the groups are distributed. While the list is recent, only listed hosts are candidates, so that
	all views derive from one source; a host that is not listed yet forwards its requests. If the list is stale, every
	known host is a candidate. Leaving hosts are candidates only if there is no other.
	*/
	candidates(): Member[] {
		const members = this.members();
		const isListUsed = !this.isListStale && this.#listed.size > 0;
		const eligible = members.filter(({name}) => !isListUsed || this.#listed.has(name));
		const remaining = eligible.filter(({isLeaving}) => !isLeaving);
		return [remaining, eligible, members].find(hosts => hosts.length > 0) ?? [];
	}

	/** The hosts to which this host keeps links open and announces its configuration and host list versions. */
	neighbours(): Member[] {
		const known = [...this.members(), ...this.#listedButGone()];
		return ownership.rank(this.#options.self.name, known.filter(({name}) => name !== this.#options.self.name)).slice(0, maxNeighbours);
	}

	/** Hosts that enough peers report unreachable and that this host has not tried to reach yet. */
	unverified(): Member[] {
		return this.members().filter(({name}) => this.#reportCount(name) >= minReports && !this.#unreachable.has(name) && !this.linked.includes(name));
	}

	#listedButGone(): Member[] {
		return [...this.#listed.values()].filter(({name}) => this.#isGone(name)).map(({name, place, address}) => ({
			name, place, address, isLeaving: false,
		}));
	}

	#isGone(name: string): boolean {
		return name !== this.#options.self.name && this.#unreachable.has(name) && (!this.#listed.has(name) || this.#reportCount(name) >= minReports);
	}

	#reportCount(name: string): number {
		return [...this.#peers.values()].filter(({hello, lostAt}) => lostAt === undefined && hello.unreachable.includes(name)).length;
	}

	/**
	Whether a peer announced that it is leaving. The announcement of a peer whose link was lost expires once the list has
	had time to reflect it, so that a restarted host is not excluded.
	*/
	#isPeerLeaving(name: string): boolean {
		const peer = this.#peers.get(name);
		const isCurrent = peer?.lostAt === undefined || this.#clock.now() - peer.lostAt <= this.#options.staleMs;
		return isCurrent && (peer?.hello.leaving ?? false);
	}
}
