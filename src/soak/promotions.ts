/**
Faults around promotions: servers that drain one after the other and are replaced, orders that are late, refused or without
a response, replicas that receive nothing, links that are cut for some hosts, and hosts that stop right after a claim.
*/
import type * as random from '../core/random.js';
import type * as relay from '../standin/relay.js';
import type * as contacts from './contact.js';
import * as faults from './fault.js';
import * as owners from './owner.js';
import type * as platforms from './platform.js';
import * as replicated from './replicated.js';
import type * as sites from './site.js';

const drainMs = 5000;
/** Time for which a server that drains goes on if it still leads. */
const maxOvertimeMs = 10_000;
const maxStartMs = 1500;
const pollMs = 10;
const maxLagMs = 700;
const maxReconnectMs = 1500;
const maxOrderDelayMs = 4000;
const maxPromotionMs = 3000;
const maxClaimStopMs = 60;
const maxDrains = 4;
/** Longest time in which a claim is expected and its host killed. */
const maxKillDurationMs = 4000;
const maxKillMs = 120;
const minLateOrderMs = 1500;
const linkDelayMs = 120;

/** Servers of the group that may be disturbed: at most one at a time is away, so that a running server has every acknowledged commit. */
function isWhole({servers}: replicated.Group): boolean {
	return servers.every(({isUnresponsive}) => !isUnresponsive);
}

/** A fault that disturbs the promotions of one group or of all. */
abstract class PromotionFault extends faults.Fault {
	readonly scopes: readonly contacts.Scope[] = ['hosts', 'store'];
}

type DrainOptions = {
	readonly count: number;
	/** Time from the end of a server to the start of the one in its place. */
	readonly startMs: number;
	readonly lagsMs: readonly number[];
	/** Times from a promotion until each server receives from the new primary. */
	readonly reconnectsMs: readonly number[];
};

/**
The primary drains, and each new primary drains right after its promotion. Each server leaves some time later, and a new one
takes its address and its log.
*/
class Drains extends PromotionFault {
	readonly text: string;
	readonly #group: number;
	readonly #count: number;
	readonly #startMs: number;
	readonly #lagsMs: readonly number[];
	readonly #reconnectsMs: readonly number[];

	constructor(group: number, {count, startMs, lagsMs, reconnectsMs}: DrainOptions) {
		super();
		this.#reconnectsMs = reconnectsMs;
		this.#group = group;
		this.#count = count;
		this.#startMs = startMs;
		this.#lagsMs = lagsMs;
		this.text = `${count} primaries of group ${group} drain in a row, each replaced after ${startMs} ms; lags ${lagsMs.join(', ')} ms, reconnects ${reconnectsMs.join(', ')} ms`;
	}

	override async hold(site: sites.Site): Promise<void> {
		const group = site.groups[this.#group];
		const replacements: Array<Promise<void>> = [];
		for (const [index, server] of group.servers.entries()) {
			server.lagMs = this.#lagsMs[index];
			server.reconnectMs = this.#reconnectsMs[index];
		}

		for (let count = 0; count < this.#count; count++) {
			const deadline = site.time.now() + maxPromotionMs;
			while (site.time.now() < deadline && (!group.primary || group.primary.isDraining || group.primary.isUnresponsive)) {
				await site.time.sleep(pollMs);
			}

			if (group.primary && !group.primary.isDraining) {
				replacements.push(this.#replace(site, group.primary));
			}
		}

		await Promise.all(replacements);
		for (const server of group.servers) {
			server.lagMs = replicated.defaultLagMs;
			server.reconnectMs = 0;
		}
	}

	override begin(): void {
		// `hold` begins each drain.
	}

	override end(): void {
		// Each server has been replaced.
	}

	async #replace(site: sites.Site, server: replicated.Server): Promise<void> {
		const index = site.backends.findIndex(backend => backend.server === server);
		const backend = site.backends[index];
		server.isDraining = true;
		site.register(backend, 'draining');
		await site.time.sleep(drainMs);
		const deadline = site.time.now() + maxOvertimeMs;
		while (!isWhole(backend.group) || (site.time.now() < deadline && (backend.group.primary ?? server) === server)) {
			await site.time.sleep(pollMs);
		}

		server.isUnresponsive = true;
		backend.listener.crash();
		await site.time.sleep(this.#startMs);
		site.replace(index);
	}
}

/** Orders of promotions are refused, or carried out late without a response, or take effect late. */
class OrderFault extends PromotionFault {
	readonly text: string;
	readonly #kind: platforms.Promotions | 'late';
	readonly #delayMs: number;

	constructor(kind: platforms.Promotions | 'late', delayMs: number) {
		super();
		this.#kind = kind;
		this.#delayMs = delayMs;
		this.text = `orders of promotions are ${kind}, by ${delayMs} ms`;
	}

	override begin(site: sites.Site): void {
		if (this.#kind === 'late') {
			for (const group of site.groups) {
				group.promotionMs = Math.min(this.#delayMs, maxPromotionMs);
			}
		} else {
			site.platform.promotions = this.#kind;
			site.platform.orderDelayMs = this.#delayMs;
		}
	}

	override end(site: sites.Site): void {
		site.platform.promotions = 'well';
		for (const group of site.groups) {
			group.promotionMs = replicated.defaultPromotionMs;
		}
	}
}

/** The replicas of a group receive late, each with a lag of its own, or one of them receives nothing. */
class ReplicationFault extends PromotionFault {
	readonly text: string;
	readonly #group: number;
	readonly #lagsMs: readonly number[];
	readonly #deaf: number | undefined;

	constructor(group: number, lagsMs: readonly number[], deaf: number | undefined) {
		super();
		this.#group = group;
		this.#lagsMs = lagsMs;
		this.#deaf = deaf;
		this.text = deaf === undefined ? `servers of group ${group} lag by ${lagsMs.join(', ')} ms` : `server ${deaf} of group ${group} receives nothing`;
	}

	override begin(site: sites.Site): void {
		for (const [index, server] of site.groups[this.#group].servers.entries()) {
			if (this.#deaf === undefined) {
				server.lagMs = this.#lagsMs[index];
			} else if (this.#deaf === index) {
				server.isDeaf = true;
			}
		}
	}

	override end(site: sites.Site): void {
		for (const server of site.groups[this.#group].servers) {
			server.lagMs = replicated.defaultLagMs;
			server.isDeaf = false;
		}
	}
}

/** What some hosts can't reach. */
type Lost = 'primary' | 'peers' | 'store' | 'all';

/** Some hosts get no data through from the primary of a group, the other hosts or the store, or from none but the primary. */
class Partition extends PromotionFault {
	readonly text: string;
	readonly #group: number;
	readonly #hosts: ReadonlySet<number>;
	readonly #lost: Lost;
	#relays: readonly relay.Relay[] = [];

	constructor(group: number, hosts: ReadonlySet<number>, lost: Lost) {
		super();
		this.#group = group;
		this.#hosts = hosts;
		this.#lost = lost;
		this.text = `hosts ${[...hosts].join(', ')} don't reach ${lost === 'primary' ? `the primary of group ${group}` : (lost === 'all' ? 'the store and other hosts' : lost)}`;
	}

	override begin(site: sites.Site): void {
		const found = new owners.Owners(() => site.hosts.map(({child}) => child?.pid));
		const isAffected = (port: number): boolean => this.#hosts.has(found.find(port) ?? -1);
		const {primary} = site.groups[this.#group];
		const cut = (links: readonly relay.Relay[], isDropped: (port: number) => boolean): void => {
			this.#relays = [...this.#relays, ...links];
			for (const link of links) {
				link.set({isDropped});
			}
		};

		if (this.#lost === 'primary') {
			cut(site.backends.filter(({server}) => server === primary).map(({relay: link}) => link), isAffected);
		}

		if (this.#lost === 'peers' || this.#lost === 'all') {
			const own = site.hosts.filter((_, index) => this.#hosts.has(index));
			cut(site.hosts.filter(host => !own.includes(host)).map(({peerRelay}) => peerRelay), isAffected);
			cut(own.map(({peerRelay}) => peerRelay), port => !this.#hosts.has(found.find(port) ?? -1));
		}

		if (this.#lost === 'store' || this.#lost === 'all') {
			cut(site.hosts.filter((_, index) => this.#hosts.has(index)).map(({storeRelay}) => storeRelay), () => true);
		}
	}

	override end(): void {
		for (const link of this.#relays) {
			link.set({isDropped: () => false});
		}
	}
}

type LinkFaultKind = 'one-way' | 'delayed' | 'reset';

/** Disturbs the connections to a server, the links to a host, or those of a host to the store. */
class LinkFault extends PromotionFault {
	readonly text: string;
	readonly #target: 'server' | 'host' | 'store';
	readonly #index: number;
	readonly #kind: LinkFaultKind;

	constructor(target: 'server' | 'host' | 'store', index: number, kind: LinkFaultKind) {
		super();
		this.#target = target;
		this.#index = index;
		this.#kind = kind;
		this.text = `connections to ${target} ${index} are ${kind}`;
	}

	override begin(site: sites.Site): void {
		switch (this.#kind) {
			case 'one-way': {
				this.#relay(site).set({silentDirections: ['toNear']});
				break;
			}

			case 'delayed': {
				this.#relay(site).set({delayMs: linkDelayMs});
				break;
			}

			case 'reset': {
				this.#relay(site).cut();
				break;
			}
		}
	}

	override end(site: sites.Site): void {
		this.#relay(site).set({delayMs: 1, silentDirections: []});
	}

	#relay(site: sites.Site): relay.Relay {
		switch (this.#target) {
			case 'server': {
				return site.backends[this.#index].relay;
			}

			case 'host': {
				return site.hosts[this.#index].peerRelay;
			}

			case 'store': {
				return site.hosts[this.#index].storeRelay;
			}
		}
	}
}

/** Stops the next host that claims a promotion, some time after its claim. */
class ClaimantStop extends PromotionFault {
	readonly text: string;
	readonly #afterMs: number;
	#child: sites.Host['child'];

	constructor(afterMs: number) {
		super();
		this.#afterMs = afterMs;
		this.text = `the next host that claims a promotion stops ${afterMs} ms later`;
	}

	override begin(site: sites.Site): void {
		site.platform.onClaim = name => {
			site.platform.onClaim = undefined;
			setTimeout(() => {
				this.#child = site.hosts.find(host => host.name === name)?.child;
				this.#child?.kill('SIGSTOP');
			}, this.#afterMs);
		};
	}

	override end(site: sites.Site): void {
		site.platform.onClaim = undefined;
		this.#child?.kill('SIGCONT');
		setTimeout(() => {
			this.#child?.kill('SIGCONT');
		}, maxClaimStopMs + pollMs);
	}
}

/**
No host gets data through from the primary of a group until one claims a promotion. The order gets no response and is carried
out late, the host is killed some time after its claim and starts again. Then the primary acknowledges commits through a
replica that has lost its pause, which the target of the order receives late.
*/
class ClaimantKill extends PromotionFault {
	readonly text: string;
	readonly #afterMs: number;
	readonly #orderDelayMs: number;
	readonly #group: number;
	readonly #partition: Partition;
	#hasKilled = false;

	constructor(group: number, {hosts, afterMs, orderDelayMs}: {readonly hosts: number; readonly afterMs: number; readonly orderDelayMs: number}) {
		super();
		this.#group = group;
		this.#afterMs = afterMs;
		this.#orderDelayMs = orderDelayMs;
		this.#partition = new Partition(group, new Set(Array.from({length: hosts}, (_, index) => index)), 'primary');
		this.text = `no host reaches the primary of group ${group}; the next claimant is killed ${afterMs} ms after its claim, its order is carried out after ${orderDelayMs} ms`;
	}

	override async hold({time}: sites.Site): Promise<void> {
		const deadline = time.now() + maxKillDurationMs;
		while (time.now() < deadline && !this.#hasKilled) {
			await time.sleep(pollMs);
		}

		await time.sleep(this.#hasKilled ? this.#orderDelayMs : 0);
	}

	override begin(site: sites.Site): void {
		const {platform} = site;
		platform.promotions = 'unanswered';
		platform.orderDelayMs = this.#orderDelayMs;
		this.#partition.begin(site);
		platform.onClaim = name => {
			platform.onClaim = undefined;
			setTimeout(() => {
				site.hosts.find(host => host.name === name)?.child?.kill('SIGKILL');
				this.#resumeReplicas(site);
				this.#partition.end();
				this.#hasKilled = true;
			}, this.#afterMs);
		};
	}

	override end({groups, platform}: sites.Site): void {
		platform.onClaim = undefined;
		platform.promotions = 'well';
		this.#partition.end();
		for (const server of groups[this.#group].servers) {
			server.lagMs = replicated.defaultLagMs;
		}
	}

	#resumeReplicas({groups}: sites.Site): void {
		for (const server of groups[this.#group].servers) {
			server.lagMs = server.heldTerm === 0 ? maxLagMs : server.lagMs;
			server.heldTerm = 0;
		}
	}
}

const linkKinds = ['one-way', 'delayed', 'reset'] as const;
const linkTargets = ['server', 'host', 'store'] as const;
const lostParts = ['primary', 'primary', 'peers', 'store', 'all'] as const;
const orderKinds = ['refused', 'unanswered', 'unanswered', 'late', 'late'] as const;

/** Kinds of faults, each as often as it is drawn. */
const kinds = ['drains', 'drains', 'drains', 'orders', 'orders', 'replication', 'replication', 'partition', 'partition', 'link', 'claimant', 'stop', 'loss'] as const;

type FaultKind = typeof kinds[number];

/** Draws faults of some kinds, which differ from seed to seed: a fault that hides the effects of others is not in every run. */
export class Draw {
	readonly #random: random.Source;
	readonly #size: sites.Size;
	readonly #kinds: readonly FaultKind[];

	constructor(source: random.Source, size: sites.Size) {
		this.#random = source;
		this.#size = size;
		const others = new Set(kinds.filter(() => source.integer(0, 1) === 0));
		this.#kinds = kinds.filter(kind => kind === 'drains' || others.has(kind));
	}

	/** Draws a fault of its own kind from another source, so that the draws of `draw` stay as they were. */
	drawKill(source: random.Source): faults.Fault {
		return new ClaimantKill(source.integer(0, this.#size.groups - 1), {
			hosts: this.#size.hosts, afterMs: source.integer(0, maxKillMs), orderDelayMs: source.integer(minLateOrderMs, maxOrderDelayMs),
		});
	}

	/** Draws a fault around promotions. The draws and their order define what a seed means. */
	draw(): faults.Fault {
		const source = this.#random;
		const group = source.integer(0, this.#size.groups - 1);
		const host = source.integer(0, this.#size.hosts - 1);
		switch (this.#pick(this.#kinds)) {
			case 'drains': {
				return new Drains(group, {
					count: source.integer(1, maxDrains),
					startMs: source.integer(0, maxStartMs),
					lagsMs: this.#drawLags(),
					reconnectsMs: Array.from({length: 3}, () => source.integer(0, maxReconnectMs)),
				});
			}

			case 'orders': {
				return new OrderFault(this.#pick(orderKinds), source.integer(0, maxOrderDelayMs));
			}

			case 'replication': {
				return new ReplicationFault(group, this.#drawLags(), this.#pick([undefined, source.integer(0, 2)]));
			}

			case 'partition': {
				return this.#drawPartition(group, host);
			}

			case 'link': {
				const target = this.#pick(linkTargets);
				return new LinkFault(target, target === 'server' ? source.integer(0, (this.#size.groups * 3) - 1) : host, this.#pick(linkKinds));
			}

			case 'claimant': {
				return new ClaimantStop(source.integer(0, maxClaimStopMs));
			}

			case 'stop': {
				return new faults.Signal(host, 'SIGSTOP');
			}

			case 'loss': {
				return new faults.PrimaryLoss(group);
			}
		}
	}

	#drawPartition(group: number, host: number): faults.Fault {
		const lost = this.#pick(lostParts);
		const all = Array.from({length: this.#size.hosts}, (_, index) => index);
		if (lost !== 'primary') {
			return new Partition(group, new Set([host]), lost);
		}

		const isSilent = this.#random.integer(0, 2) === 0;
		return new Partition(group, new Set(isSilent ? all : all.filter(() => this.#random.integer(0, 1) === 0)), lost);
	}

	#drawLags(): number[] {
		return Array.from({length: 3}, () => this.#random.integer(replicated.defaultLagMs, maxLagMs));
	}

	#pick<T>(all: readonly T[]): T {
		return all[this.#random.integer(0, all.length - 1)];
	}
}
