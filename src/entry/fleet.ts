/**
The entry hosts that this host knows, and which of them does a service's work.
*/
import type * as types from '../generated/types.js';
import type * as clock from '../core/clock.js';
import type * as link from '../peer/link.js';
import type * as decisions from './decisions.js';
import type * as forwarder from './forwarder.js';
import type * as group from './group.js';
import * as peers from './peer.js';
import * as placement from './placement.js';

/** What the fleet needs. */
export type Parts = {
	/** This host. */
	readonly self: placement.Host;
	readonly clock: clock.Clock;
	readonly transport: link.Transport<types.EntryMessage>;
	readonly decisions: decisions.Decisions;
	/** Addresses of hosts that know others, asked while this host knows none. */
	readonly seeds: readonly string[];
	/** Connections that each server of a service accepts. */
	readonly connectionLimit: (service: string) => number;
	/** Places of a service's servers. */
	readonly serverPlaces: (service: string) => ReadonlySet<string>;
};

/**
Part of the connection limit that hosts together may open for a moment. Callers are spread unevenly, so it is more than
the whole; the server refuses what is too much.
*/
const mostShare = 2;
/** Hosts to reckon with while the others are not known yet. */
const leastHosts = 4;

/** Key of the rank by which hosts follow the store; names of services have no blank. */
const observerKey = 'store observer';

/** All entry hosts. */
export class Fleet {
	readonly #parts: Parts;
	readonly #hosts = new Map<string, placement.Host>();
	readonly #peers = new Map<string, peers.Peer>();
	/** Ranked names by service; emptied whenever something changes that they rest on. */
	readonly #ranks = new Map<string, readonly string[]>();
	readonly #seeds: readonly peers.Peer[];
	#turn = 0;

	constructor(parts: Parts) {
		this.#parts = parts;
		const {clock, transport, decisions} = parts;
		this.#seeds = parts.seeds.filter(address => address !== parts.self.peer).map(address => new peers.Peer({
			name: address, address, clock, transport, decisions,
		}));
		this.#hosts.set(parts.self.name, parts.self);
	}

	/** Takes what a host says of itself; without an announcement it is gone. */
	take(name: string, announcement: types.Announcement | undefined): void {
		if (name === this.#parts.self.name) {
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

		this.update();
	}

	/** Notes that servers or connection limits have changed. */
	update(): void {
		this.#ranks.clear();
	}

	/** Whether every host works in a service on its own connections. */
	isDirect(service: string): boolean {
		return placement.isDirect({hosts: [...this.#hosts.values()], connectionLimit: this.#parts.connectionLimit(service)});
	}

	/** Connections that this host may have to each server of a service. */
	share(service: string): group.Share {
		const connectionLimit = this.#parts.connectionLimit(service);
		const owners = Math.max(leastHosts, placement.countOwners({hosts: [...this.#hosts.values()], connectionLimit}));
		return {
			usual: Math.max(1, Math.floor(connectionLimit * placement.usualShare / owners)),
			most: Math.max(2, Math.ceil(connectionLimit * mostShare / owners)),
		};
	}

	/** The hosts to ask for work in a service, in turns so that they share it. */
	route(service: string): forwarder.Route {
		const names = this.#ranks.get(service) ?? this.#rank(service);
		this.#ranks.set(service, names);
		const {name: self} = this.#parts.self;
		const owners: Array<peers.Peer | 'local'> = [];
		for (const name of names) {
			const peer = name === self ? undefined : this.#peer(name);
			if (!peer) {
				owners.push('local');
			} else if (peer.isUsable) {
				owners.push(peer);
			} else {
				peer.prepare();
			}

			if (owners.length === placement.ownerCount) {
				break;
			}
		}

		if (owners.length < 2) {
			return owners.length === 0 ? ['local'] : owners;
		}

		// Work that this host can do itself stays here.
		this.#turn++;
		return owners[0] !== 'local' && (owners[1] === 'local' || this.#turn % 2 === 0) ? owners.toReversed() : owners;
	}

	/**
	The host of this region that follows the store for the others, without those named; `undefined` if it is this one.
	*/
	observer(avoided: ReadonlySet<string>): peers.Peer | undefined {
		const {self} = this.#parts;
		const ranked = this.#ranks.get(observerKey) ?? placement.rank({
			hosts: [...this.#hosts.values()], region: self.region, service: observerKey, serverPlaces: new Set<string>(), connectionLimit: 0,
		}).map(({name}) => name);
		this.#ranks.set(observerKey, ranked);
		for (const name of ranked) {
			const peer = name === self.name ? undefined : this.#peer(name);
			if (!peer || (peer.isUsable && !avoided.has(name))) {
				return peer;
			}

			peer.prepare();
		}

		return undefined;
	}

	/** A host to learn of others from, while the store has told of none. */
	seed(avoided: ReadonlySet<string>): peers.Peer | undefined {
		return this.#hosts.size > 1 ? undefined : this.#seeds.find(peer => peer.isUsable && !avoided.has(peer.name));
	}

	/** Closes all links to other hosts. */
	close(): void {
		for (const peer of [...this.#peers.values(), ...this.#seeds]) {
			peer.close();
		}
	}

	#rank(service: string): readonly string[] {
		const {self, connectionLimit, serverPlaces} = this.#parts;
		const view = {
			hosts: [...this.#hosts.values()], region: self.region, service, serverPlaces: serverPlaces(service), connectionLimit: connectionLimit(service),
		};
		return placement.isDirect(view) ? [self.name] : placement.rank(view).map(({name}) => name);
	}

	#peer(name: string): peers.Peer | undefined {
		const known = this.#peers.get(name);
		const host = this.#hosts.get(name);
		if (known ?? !host) {
			return known;
		}

		const {clock, transport, decisions} = this.#parts;
		const added = new peers.Peer({
			name, address: host.peer, clock, transport, decisions,
		});
		this.#peers.set(name, added);
		return added;
	}
}
