/**
The entry hosts known to this host, and the owners of each service's connections among them.
*/
import type * as types from '../generated/types.js';
import type * as clock from '../core/clock.js';
import type * as link from '../peer/link.js';
import type * as decisions from './decisions.js';
import type * as forwarder from './forwarder.js';
import type * as group from './group.js';
import * as peers from './peer.js';
import * as placement from './placement.js';

export type Options = {
	readonly self: placement.Host;
	readonly clock: clock.Clock;
	readonly transport: link.Transport<types.EntryMessage>;
	readonly decisions: decisions.Decisions;
	/** Addresses of hosts to discover other hosts from while this host knows none. */
	readonly seeds: readonly string[];
	/** Connections that each server of a service accepts. */
	readonly connectionLimit: (service: string) => number;
	/** Places that have a server of the service. */
	readonly serverPlaces: (service: string) => ReadonlySet<string>;
};

/**
Ratio of the sum of the owners' hard limits to a server's connection limit. It is above 1 because callers are spread
unevenly over hosts; the server refuses connections beyond its limit.
*/
const overcommitFactor = 2;
/**
Even share from which on there is no overcommitment: with six owners, such shares use all 4 slots and the queue of 32 of a
server, which refuses further requests anyway. The rest of its limit is for lost connections and changes of owners.
*/
const ampleShare = 6;
/** Lower bound of the assumed number of owners, used until other hosts are discovered. */
const minOwners = 4;

/** Rank key of the observer of the store. Service names contain no space, so it can't collide with one. */
const observerKey = 'store observer';

/** Tracks the entry hosts and routes each service's work to its owners. */
export class Fleet {
	readonly #options: Options;
	readonly #hosts = new Map<string, placement.Host>();
	readonly #peers = new Map<string, peers.Peer>();
	/** Cache of ranked host names by service, cleared when an input of the ranking changes. */
	readonly #ranks = new Map<string, readonly string[]>();
	readonly #seeds: readonly peers.Peer[];
	#roundRobin = 0;

	constructor(options: Options) {
		this.#options = options;
		const {clock, transport, decisions} = options;
		this.#seeds = options.seeds.filter(address => address !== options.self.peer).map(address => new peers.Peer({
			name: address, address, clock, transport, decisions,
		}));
		this.#hosts.set(options.self.name, options.self);
	}

	/** Updates a host from its announcement; without one, the host is removed. */
	update(name: string, announcement: types.Announcement | undefined): void {
		if (name === this.#options.self.name) {
			return;
		}

		if (announcement) {
			this.#hosts.set(name, {name, ...announcement});
		} else {
			this.#hosts.delete(name);
		}

		if (this.#peers.get(name)?.address !== announcement?.peer) {
			this.#peers.get(name)?.close();
			this.#peers.delete(name);
		}

		this.invalidate();
	}

	/** Drops cached ranks after a change of servers or connection limits. */
	invalidate(): void {
		this.#ranks.clear();
	}

	/** Whether every host uses its own connections to the service's servers. */
	isDirect(service: string): boolean {
		return placement.isDirect({hosts: [...this.#hosts.values()], connectionLimit: this.#options.connectionLimit(service)});
	}

	/** Limits on this host's connections to each server of a service. */
	quota(service: string): group.Quota {
		const connectionLimit = this.#options.connectionLimit(service);
		const owners = Math.max(minOwners, placement.countOwners({hosts: [...this.#hosts.values()], connectionLimit}));
		const softLimit = Math.max(1, Math.floor(connectionLimit * placement.quotaFraction / owners));
		return {
			softLimit,
			hardLimit: softLimit >= ampleShare ? softLimit : Math.max(2, Math.ceil(connectionLimit * overcommitFactor / owners)),
		};
	}

	/** The owners to send a service's work to, in round-robin order to balance the load. */
	route(service: string, _customer?: string): forwarder.Route {
		const names = this.#ranks.get(service) ?? this.#rank(service);
		this.#ranks.set(service, names);
		const {name: self} = this.#options.self;
		const owners: Array<peers.Peer | 'local'> = [];
		for (const name of names) {
			const peer = name === self ? undefined : this.#peer(name);
			if (!peer) {
				owners.push('local');
			} else if (peer.isUsable) {
				owners.push(peer);
			} else {
				peer.connect();
			}

			if (owners.length === placement.ownersPerRegion) {
				break;
			}
		}

		if (owners.length < 2) {
			return owners.length === 0 ? ['local'] : owners;
		}

		// If this host is one of the owners, it runs the work locally.
		this.#roundRobin++;
		return owners[0] !== 'local' && (owners[1] === 'local' || this.#roundRobin % 2 === 0) ? owners.toReversed() : owners;
	}

	/**
	The other hosts that may use connections of their own to a service's servers: all of them, or the first in rank of each
	region, with one more in each for the time while the owners change.
	*/
	colleagues(service: string): peers.Peer[] {
		const {self: {name: self}} = this.#options;
		const names = this.isDirect(service)
			? [...this.#hosts.keys()]
			: this.#regions.flatMap(region => placement.rank(this.#view(service, region)).slice(0, placement.ownersPerRegion + 1).map(({name}) => name));
		return names.filter(name => name !== self).flatMap(name => this.#peer(name) ?? []);
	}

	/** Whether a link to another host is open. */
	get hasOpenLink(): boolean {
		return [...this.#peers.values()].some(({isOpen}) => isOpen);
	}

	/** The host that follows the store for its region, chosen among hosts that are not `excluded`; `undefined` if it is this host. */
	observer(excluded: ReadonlySet<string>): peers.Peer | undefined {
		const {self} = this.#options;
		const ranked = this.#ranks.get(observerKey) ?? placement.rank({
			hosts: [...this.#hosts.values()], region: self.region, service: observerKey, serverPlaces: new Set<string>(), connectionLimit: 0,
		}).map(({name}) => name);
		this.#ranks.set(observerKey, ranked);
		for (const name of ranked) {
			const peer = name === self.name ? undefined : this.#peer(name);
			if (!peer || (peer.isUsable && !excluded.has(name))) {
				return peer;
			}

			peer.connect();
		}

		return undefined;
	}

	/** A seed to discover other hosts from; `undefined` if other hosts are already known or no seed is usable. */
	seed(excluded: ReadonlySet<string>): peers.Peer | undefined {
		return this.#hosts.size > 1 ? undefined : this.#seeds.find(peer => peer.isUsable && !excluded.has(peer.name));
	}

	/** Closes all links to other hosts. */
	close(): void {
		for (const peer of [...this.#peers.values(), ...this.#seeds]) {
			peer.close();
		}
	}

	#rank(service: string): readonly string[] {
		const {self} = this.#options;
		const view = this.#view(service, self.region);
		return placement.isDirect(view) ? [self.name] : placement.rank(view).map(({name}) => name);
	}

	get #regions(): string[] {
		return [...new Set([...this.#hosts.values()].map(({region}) => region))];
	}

	#view(service: string, region: string): placement.View {
		const {connectionLimit, serverPlaces} = this.#options;
		return {
			hosts: [...this.#hosts.values()], region, service, serverPlaces: serverPlaces(service), connectionLimit: connectionLimit(service),
		};
	}

	#peer(name: string): peers.Peer | undefined {
		const known = this.#peers.get(name);
		const host = this.#hosts.get(name);
		if (known ?? !host) {
			return known;
		}

		const {clock, transport, decisions} = this.#options;
		const added = new peers.Peer({
			name, address: host.peer, clock, transport, decisions,
		});
		this.#peers.set(name, added);
		return added;
	}
}
