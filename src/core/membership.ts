/**
The entry hosts that a host knows, from the platform's list, from the word of peers and from the state of links.
*/
import type * as types from '../generated/types.js';
import type * as clock from './clock.js';
import * as ownership from './ownership.js';

export type Member = ownership.Member;

/** Peers besides this host whose word makes a host gone whose link is down. */
const wordsNeeded = 2;
const neighbourCount = 4;

/** What membership depends on. */
export type Options = {
	readonly self: Pick<Member, 'name' | 'place'>;
	readonly hasSeeds: boolean;
	/** Age in ms from which the list is stale. */
	readonly staleMs: number;
};

/** The last word of a peer, and when its link was lost; undefined while it is up. */
type Peer = {readonly hello: types.Hello; readonly lostAt: number | undefined};

/** The members as one host sees them. */
export class Members {
	readonly #options: Options;
	readonly #clock: clock.Clock;
	readonly #peers = new Map<string, Peer>();
	readonly #down = new Set<string>();
	#listed = new Map<string, types.ListedHost>();
	#leavingServers = new Set<string>();
	#listedAt = Number.NEGATIVE_INFINITY;
	#isLeaving = false;
	#address = '';

	constructor(options: Options, time: clock.Clock) {
		this.#options = options;
		this.#clock = time;
	}

	/** Time in ms since the store last answered with the list. */
	get listAgeMs(): number {
		return this.#clock.now() - this.#listedAt;
	}

	get isListStale(): boolean {
		return this.listAgeMs > this.#options.staleMs;
	}

	get isLeaving(): boolean {
		return this.#isLeaving;
	}

	/** Whether this host knows of no other host and has been told of none. */
	get isAlone(): boolean {
		return !this.#options.hasSeeds && this.#peers.size === 0 && [...this.#listed.keys()].every(name => name === this.#options.self.name);
	}

	/** Peers with a link. */
	get linked(): string[] {
		return [...this.#peers].filter(([, {lostAt}]) => lostAt === undefined).map(([name]) => name);
	}

	/** Hosts without a link although one was tried. */
	get unreachable(): string[] {
		return [...this.#down].toSorted();
	}

	/** Addresses of backend servers that the list calls leaving. */
	get leavingServers(): ReadonlySet<string> {
		return this.#leavingServers;
	}

	/** Takes the list; `isFresh` if it comes from the store itself. */
	takeList(list: types.HostList, isFresh: boolean): void {
		this.#listed = new Map(list.entry.map(host => [host.name, host]));
		this.#leavingServers = new Set(list.backend.filter(({state}) => state === 'leaving').map(({address}) => address));
		for (const [name, {lostAt}] of this.#peers) {
			if (lostAt !== undefined && !this.#listed.has(name)) {
				this.#peers.delete(name);
				this.#down.delete(name);
			}
		}

		if (isFresh) {
			this.confirmList();
		}
	}

	/** The store answered that the list is unchanged. */
	confirmList(): void {
		this.#listedAt = this.#clock.now();
	}

	/** Takes the word of a peer with a link. */
	greet(hello: types.Hello): void {
		this.#peers.set(hello.host, {hello, lostAt: undefined});
		this.#down.delete(hello.host);
	}

	/** Notes that the link to a host was lost or could not be opened. */
	lose(name: string): void {
		this.#down.add(name);
		const peer = this.#peers.get(name);
		if (peer && peer.lostAt === undefined) {
			this.#peers.set(name, {hello: peer.hello, lostAt: this.#clock.now()});
		}
	}

	/** Sets this host's address for links, known once it listens. */
	listen(address: string): void {
		this.#address = address;
	}

	/** Marks this host as leaving. */
	leave(): void {
		this.#isLeaving = true;
	}

	/** Every host that is not gone, this host included. */
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
	The hosts among which groups are shared. While the list is recent only hosts on it count, so that views rest on one
	source; a host that the list does not have yet forwards. Otherwise every known host counts.
	*/
	candidates(): Member[] {
		const members = this.members();
		const isListUsed = !this.isListStale && this.#listed.size > 0;
		const eligible = members.filter(({name}) => !isListUsed || this.#listed.has(name));
		const staying = eligible.filter(({isLeaving}) => !isLeaving);
		return [staying, eligible, members].find(hosts => hosts.length > 0) ?? [];
	}

	/** The hosts that this host tells of its versions, and whose links it keeps open. */
	neighbours(): Member[] {
		const known = [...this.members(), ...this.#listedButGone()];
		return ownership.rank(this.#options.self.name, known.filter(({name}) => name !== this.#options.self.name)).slice(0, neighbourCount);
	}

	/** Hosts that peers miss and to which this host has no link yet, so that it must see for itself. */
	doubted(): Member[] {
		return this.members().filter(({name}) => this.#words(name) >= wordsNeeded && !this.#down.has(name) && !this.linked.includes(name));
	}

	#listedButGone(): Member[] {
		return [...this.#listed.values()].filter(({name}) => this.#isGone(name)).map(({name, place, address}) => ({
			name, place, address, isLeaving: false,
		}));
	}

	#isGone(name: string): boolean {
		return name !== this.#options.self.name && this.#down.has(name) && (!this.#listed.has(name) || this.#words(name) >= wordsNeeded);
	}

	#words(name: string): number {
		return [...this.#peers.values()].filter(({hello, lostAt}) => lostAt === undefined && hello.unreachable.includes(name)).length;
	}

	/** The word of a lost peer counts until the list had time to follow, so that a restarted host is not left out. */
	#isPeerLeaving(name: string): boolean {
		const peer = this.#peers.get(name);
		const isCurrent = peer?.lostAt === undefined || this.#clock.now() - peer.lostAt <= this.#options.staleMs;
		return isCurrent && (peer?.hello.leaving ?? false);
	}
}
