/**
The entry hosts known to this host, and the owners of each service's connections among them.
*/
import type * as types from '../generated/types.js';
import type * as clock from '../core/clock.js';
import type * as link from '../peer/link.js';
import * as ownership from './customers/ownership.js';
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
	/** Place of the one server of a service whose registration says that it leads; `undefined` if none or several say so. */
	readonly leaderPlace: (service: string) => string | undefined;
	/** The customers of the configuration; `undefined` if the deployment has none. */
	readonly customers: () => ownership.Directory | undefined;
};

/**
Ratio of the sum of the owners' hard limits to a server's connection limit. It is above 1 because callers are spread
unevenly over hosts; the server refuses connections beyond its limit.
*/
const overcommitFactor = 2;
/** Lower bound of the assumed number of owners, used until other hosts are discovered. */
const minOwners = 4;
/** Time for which an owner keeps idle connections of customers; servers close them after 60 s. */
const ownerRetentionMs = 30_000;
/** The same for a host that stands in for owners: they usually return within seconds. */
const standInRetentionMs = 3000;

/** Hosts of each other region that may be asked for the store's objects. */
const distantCandidates = 3;

/** Rank key of the observer of the store. Service names contain no space, so it can't collide with one. */
const observerKey = 'store observer';

/** Tracks the entry hosts and routes each service's work to its owners. */
export class Fleet {
	readonly #options: Options;
	readonly #hosts = new Map<string, placement.Host>();
	readonly #peers = new Map<string, peers.Peer>();
	/** Cache of ranked host names by service, cleared when an input of the ranking changes. */
	readonly #ranks = new Map<string, readonly string[]>();
	/** Cache of the loads of the owners of a service in a region, by service and owners. */
	readonly #loads = new Map<string, ReadonlyMap<string, number>>();
	#sizes: ownership.Sizes | undefined;
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

	/** Drops cached ranks after a change of servers, connection limits or customers. */
	invalidate(): void {
		this.#ranks.clear();
		const directory = this.#options.customers();
		if (directory !== this.#sizes?.directory) {
			this.#sizes = directory && new ownership.Sizes(directory);
			this.#loads.clear();
		}
	}

	/** Whether every host uses its own connections to the service's servers. With customers, a few owners have them. */
	isDirect(service: string): boolean {
		return !this.#sizes && placement.isDirect({hosts: [...this.#hosts.values()], connectionLimit: this.#options.connectionLimit(service)});
	}

	/** Limits on this host's connections to each server of a service. */
	quota(service: string): group.Quota {
		const connectionLimit = this.#options.connectionLimit(service);
		if (this.#sizes) {
			return this.#customerQuota(service, connectionLimit, this.#sizes);
		}

		const owners = Math.max(minOwners, placement.countOwners({hosts: [...this.#hosts.values()], connectionLimit}));
		return {
			softLimit: Math.max(1, Math.floor(connectionLimit * placement.quotaFraction / owners)),
			hardLimit: Math.max(2, Math.ceil(connectionLimit * overcommitFactor / owners)),
		};
	}

	/**
	The owners to send a service's work to, in round-robin order to balance the load. The work of a small customer goes to its
	owner, and to the next host in rank only if the owner is lost.

	With customers, work for the leader goes to the owners in the leader's region first: its statements take one way less
	between places, and a customer needs connections to the leader at these owners only.
	*/
	route(service: string, customer?: string, target: forwarder.Destination = 'any'): forwarder.Route {
		const {region: own} = this.#options.self;
		const region = target === 'leader' && this.#sizes ? this.#leaderRegion(service) ?? own : own;
		const owners = this.#routeIn(own, service, customer);
		return region === own ? owners : [...this.#routeIn(region, service, customer), ...owners];
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

	/** Whether any other host is known. */
	get knowsHosts(): boolean {
		return this.#hosts.size > 1;
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

	/** A usable host of another region that is not `excluded`, among the first in rank of each. Opens links to those that failed. */
	distant(excluded: ReadonlySet<string>): peers.Peer | undefined {
		const {self} = this.#options;
		const candidates = this.#regions.filter(region => region !== self.region).flatMap(region => placement.rank({
			hosts: [...this.#hosts.values()], region, service: observerKey, serverPlaces: new Set<string>(), connectionLimit: 0,
		}).slice(0, distantCandidates)).flatMap(({name}) => this.#peer(name) ?? []);
		for (const peer of candidates.filter(({isUsable}) => !isUsable)) {
			peer.connect();
		}

		return candidates.find(peer => peer.isUsable && !excluded.has(peer.name));
	}

	/** A seed to discover other hosts from; `undefined` if other hosts are already known or no seed is usable. */
	seed(excluded: ReadonlySet<string>): peers.Peer | undefined {
		return this.#hosts.size > 1 ? undefined : this.#seeds.find(peer => peer.isUsable && !excluded.has(peer.name));
	}

	/** Another host by name; `undefined` if it isn't known. */
	find(name: string): peers.Peer | undefined {
		return name === this.#options.self.name ? undefined : this.#peer(name);
	}

	/** Closes all links to other hosts. */
	close(): void {
		for (const peer of [...this.#peers.values(), ...this.#seeds]) {
			peer.close();
		}
	}

	/** The usable owners in a region; this host itself if there is none in its own one. */
	#routeIn(region: string, service: string, customer: string | undefined): forwarder.Route {
		const names = this.#rankFor(region, service, customer);
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

		const hasOneOwner = customer !== undefined && this.#sizes !== undefined && !this.#sizes.isLarge(customer);
		if (owners.length < 2 || hasOneOwner) {
			return owners.length === 0 && region === this.#options.self.region ? ['local'] : owners;
		}

		// If this host is one of the owners, it runs the work locally.
		this.#roundRobin++;
		return owners[0] !== 'local' && (owners[1] === 'local' || this.#roundRobin % 2 === 0) ? owners.toReversed() : owners;
	}

	/** The hosts of a region in their rank for a service, its owners in their rank for the customer. */
	#rankFor(region: string, service: string, customer: string | undefined): readonly string[] {
		const {self} = this.#options;
		const regionKey = `${service} of ${region}`;
		const hosts = this.#ranks.get(regionKey) ?? (this.isDirect(service) ? [self.name] : this.#rank(service, region));
		this.#ranks.set(regionKey, hosts);
		if (customer === undefined || !this.#sizes) {
			return hosts;
		}

		const key = `${regionKey} for ${customer}`;
		const ranked = this.#ranks.get(key) ?? [
			...ownership.rank(service, customer, hosts.slice(0, placement.ownersPerRegion).map(name => ({name}))).map(({name}) => name),
			...hosts.slice(placement.ownersPerRegion),
		];
		this.#ranks.set(key, ranked);
		return ranked;
	}

	#rank(service: string, region: string): readonly string[] {
		return placement.rank(this.#view(service, region)).map(({name}) => name);
	}

	/**
	The limits where connections belong to customers. The owners divide a fraction of the server's limit by the rates of their
	customers; the rest is for hosts that start, while servers may count their previous connections, and for stand-ins.
	*/
	#customerQuota(service: string, connectionLimit: number, sizes: ownership.Sizes): group.Quota {
		const {name: self} = this.#options.self;
		const budget = Math.floor(connectionLimit * placement.quotaFraction);
		const loads = this.#ownerLoads(service, sizes);
		const reserve = Math.max(1, Math.floor((connectionLimit - budget) / loads.size));
		const own = ownership.divide(budget, loads).get(self);
		if (own === undefined) {
			return {
				softLimit: reserve, hardLimit: reserve, startLimit: reserve, retentionMs: standInRetentionMs,
			};
		}

		const placeLimits = new Map<string, number>();
		for (const region of this.#regions) {
			const limit = ownership.divide(budget, this.#ownerLoads(service, sizes, region)).get(self) ?? own;
			for (const host of this.#hosts.values()) {
				if (host.region === region) {
					placeLimits.set(host.place, limit);
				}
			}
		}

		return {
			softLimit: own, hardLimit: own, startLimit: Math.min(reserve, own), retentionMs: ownerRetentionMs, placeLimits,
		};
	}

	/** The loads of the owners of all regions, those of a server's own region with more weight. */
	#ownerLoads(service: string, sizes: ownership.Sizes, serverRegion?: string): ReadonlyMap<string, number> {
		const loads = new Map<string, number>();
		for (const region of this.#regions) {
			for (const [name, load] of this.#regionLoads(service, region, sizes)) {
				loads.set(name, region === serverRegion ? load * ownership.nearWeight : load);
			}
		}

		return loads;
	}

	/** The loads of a region's owners, as parts of that of the region. */
	#regionLoads(service: string, region: string, sizes: ownership.Sizes): ReadonlyMap<string, number> {
		const rankKey = `${service} in ${region}`;
		const names = this.#ranks.get(rankKey) ?? this.#rank(service, region).slice(0, placement.ownersPerRegion);
		this.#ranks.set(rankKey, names);
		const loadKey = `${service} ${names.join(' ')}`;
		const found = this.#loads.get(loadKey) ?? ownership.loads(service, names.map(name => ({name})), sizes);
		this.#loads.set(loadKey, found);
		return found;
	}

	#leaderRegion(service: string): string | undefined {
		const place = this.#options.leaderPlace(service);
		return [...this.#hosts.values()].find(host => host.place === place)?.region;
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
