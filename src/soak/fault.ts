/**
Faults that the soak test injects from outside the entry hosts: signals to their processes, failures of the platform's
store, servers that crash or lose responses, and relays that delay, close or silence connections.
*/
import type * as random from '../core/random.js';
import type * as contacts from './contact.js';
import type * as platforms from './platform.js';
import * as replicated from './replicated.js';
import * as sites from './site.js';

/** A fault that lasts for a limited time. */
export abstract class Fault {
	/** Longest time that a plan draws for the fault. */
	readonly maxDurationMs: number = maxDurationMs;
	/** Description for the report. */
	abstract readonly text: string;
	/** What the fault disturbs from its begin to its end, so that bounds of time don't hold there. */
	abstract readonly scopes: readonly contacts.Scope[];

	/** What the fault disturbs other than by planned work, during which hosts must still answer what they have read. */
	get unplannedScopes(): readonly contacts.Scope[] {
		return this.scopes;
	}

	/** Resolves when the fault has lasted long enough to end. */
	async hold(site: sites.Site, durationMs: number): Promise<void> {
		await site.time.sleep(durationMs);
	}

	abstract begin(site: sites.Site): void;

	/** Restores normal operation, unless the effect is permanent or recovers without help. */
	abstract end(site: sites.Site): void;
}

/** Sends a signal to one entry host; a host stopped by SIGSTOP is continued at the end. */
export class Signal extends Fault {
	readonly text: string;
	readonly scopes: readonly contacts.Scope[];
	readonly #host: number;
	readonly #signal: NodeJS.Signals;

	constructor(host: number, signal: NodeJS.Signals) {
		super();
		this.#host = host;
		this.#signal = signal;
		this.text = `${signal} to host ${host}`;
		this.scopes = signal === 'SIGHUP' ? [] : [`host ${host}`];
	}

	override get unplannedScopes(): readonly contacts.Scope[] {
		return this.#signal === 'SIGTERM' ? [] : this.scopes;
	}

	override begin(site: sites.Site): void {
		if (this.#signal === 'SIGTERM' || this.#signal === 'SIGHUP') {
			site.unanswered.begin({kind: this.#signal, host: this.#host});
		}

		site.hosts[this.#host]?.child?.kill(this.#signal);
	}

	override end(site: sites.Site): void {
		if (this.#signal === 'SIGSTOP') {
			site.hosts[this.#host]?.child?.kill('SIGCONT');
		}
	}
}

/**
Stops some entry hosts for a moment, as a machine does that is short of processor time. Nothing records that as a
disturbance, so every promise holds meanwhile.
*/
export class Stall extends Fault {
	readonly text: string;
	readonly scopes = [] as const;
	override readonly maxDurationMs = maxStallMs;
	readonly #hosts: readonly number[];
	#stopped: ReadonlyArray<sites.Host['child']> = [];

	constructor(hosts: readonly number[]) {
		super();
		this.#hosts = hosts;
		this.text = `a stall of host ${hosts.join(', ')}`;
	}

	override begin(site: sites.Site): void {
		this.#stopped = this.#hosts.map(host => site.hosts[host].child);
		for (const child of this.#stopped) {
			child?.kill('SIGSTOP');
		}
	}

	override end(): void {
		for (const child of this.#stopped) {
			child?.kill('SIGCONT');
		}
	}
}

/** Kills all entry hosts at once. */
class Outage extends Fault {
	readonly text: string;
	readonly scopes = ['hosts'] as const;

	constructor() {
		super();
		this.text = 'SIGKILL to every host';
	}

	override begin(site: sites.Site): void {
		for (const {child} of site.hosts) {
			child?.kill('SIGKILL');
		}
	}

	override end(): void {
		// The site restarts hosts that have exited.
	}
}

/** Puts the store into a failure state for all hosts, or makes it refuse the requests of one. */
class StoreFault extends Fault {
	readonly text: string;
	readonly scopes: readonly contacts.Scope[];
	readonly #state: platforms.State;
	readonly #host: string | undefined;

	constructor(state: platforms.State, host: number | undefined) {
		super();
		this.#state = state;
		this.#host = host === undefined ? undefined : `entry-${host}`;
		this.text = host === undefined ? `the store is ${state}` : `the store refuses requests of entry-${host}`;
		this.scopes = [host === undefined ? 'store' : `host ${host}`];
	}

	override begin(site: sites.Site): void {
		if (this.#host === undefined) {
			site.platform.state = this.#state;
		} else {
			site.platform.refusedHosts.add(this.#host);
		}
	}

	override end(site: sites.Site): void {
		if (this.#host === undefined) {
			site.platform.state = 'well';
		} else {
			site.platform.refusedHosts.delete(this.#host);
		}
	}
}

/** Makes the store refuse requests or not respond, and then return from a copy of its state some time before the fault. */
export class Restoration extends Fault {
	readonly text: string;
	readonly scopes = ['store'] as const;
	override readonly maxDurationMs = maxOutageMs;
	readonly #state: platforms.State;
	readonly #copyAgeMs: number;
	#startedAt = 0;

	constructor(state: 'refused' | 'silent', copyAgeMs: number) {
		super();
		this.#state = state;
		this.#copyAgeMs = copyAgeMs;
		this.text = `the store is ${state} and returns from a copy ${copyAgeMs} ms old`;
	}

	override begin(site: sites.Site): void {
		this.#startedAt = site.time.now();
		site.platform.state = this.#state;
		site.platform.cutWatches();
	}

	override end(site: sites.Site): void {
		site.platform.state = 'well';
		void site.platform.restore(Math.max(this.#startedAt - this.#copyAgeMs, site.preparedAt));
	}
}

const changeTexts = {compact: 'the store compacts its history', configure: 'a new configuration', 'replace key': 'a customer gets another key'} as const;

/** Compacts the store's history, or writes a new configuration, which may replace the key of a customer. */
export class StoreChange extends Fault {
	readonly text: string;
	readonly scopes = [] as const;
	readonly #kind: 'compact' | 'configure' | 'replace key';

	constructor(kind: 'compact' | 'configure' | 'replace key') {
		super();
		this.#kind = kind;
		this.text = changeTexts[kind];
	}

	override begin(site: sites.Site): void {
		if (this.#kind === 'compact') {
			site.platform.compact();
		} else {
			if (this.#kind === 'replace key') {
				site.replaceKey();
			}

			site.configure();
		}
	}

	override end(): void {
		// The change is permanent.
	}
}

type ServerFaultKind = 'dark' | 'lagging' | 'losing answers' | 'draining';

/** Makes one server of a group crash, lag or lose responses, or registers it as draining so that it is replaced as primary. */
class ServerFault extends Fault {
	readonly text: string;
	readonly scopes: readonly contacts.Scope[];
	readonly #index: number;
	readonly #kind: ServerFaultKind;

	constructor(index: number, kind: ServerFaultKind) {
		super();
		this.scopes = [`server ${index}`];
		this.#index = index;
		this.#kind = kind;
		this.text = `server ${index} is ${kind}`;
	}

	override get unplannedScopes(): readonly contacts.Scope[] {
		return this.#kind === 'draining' ? [] : this.scopes;
	}

	override begin(site: sites.Site): void {
		const backend = site.backends[this.#index];
		switch (this.#kind) {
			case 'dark': {
				crash(site, backend);
				break;
			}

			case 'lagging': {
				backend.server.lagMs = 600;
				break;
			}

			case 'losing answers': {
				backend.server.lossRate = 0.05;
				break;
			}

			case 'draining': {
				site.register(backend, 'draining');
				break;
			}
		}
	}

	override end(site: sites.Site): void {
		const backend = site.backends[this.#index];
		backend.server.isUnresponsive = false;
		backend.server.lagMs = replicated.defaultLagMs;
		backend.server.lossRate = 0;
		site.register(backend, 'ready');
	}
}

/** Crashes a group's primary, until another server is primary or the bound for that has passed. */
export class PrimaryLoss extends Fault {
	readonly text: string;
	readonly scopes = [] as const;
	readonly #group: number;
	#lost: sites.Backend | undefined;

	constructor(group: number) {
		super();
		this.#group = group;
		this.text = `the primary of group ${group} is dark`;
	}

	override get unplannedScopes(): readonly contacts.Scope[] {
		return sites.serverScopes(this.#group);
	}

	override begin(site: sites.Site): void {
		const {name} = site.groups[this.#group];
		const primary = site.backends.find(({group, server}) => group.name === name && server.role === 'primary');
		if (primary && crash(site, primary)) {
			this.#lost = primary;
		}
	}

	override async hold(site: sites.Site, durationMs: number): Promise<void> {
		await super.hold(site, durationMs);
		while (this.#lost?.server.isUnresponsive && this.#lost.server.role === 'primary' && !site.failovers.isOverdue(this.#lost.group.name)) {
			await site.time.sleep(replacementPollMs);
		}
	}

	override end(site: sites.Site): void {
		if (this.#lost) {
			this.#lost.server.isUnresponsive = false;
			site.register(this.#lost);
		}
	}
}

/** When a dark replica returns: some time after the commits have stalled, or some time after the order of a promotion. */
type ReturnMoment = 'stall' | 'order';

/**
One replica of a group is dark, and then the other one receives nothing, so that commits stall. The dark replica returns and
lets the primary acknowledge commits again, while a failover may be in progress.
*/
export class Starvation extends Fault {
	readonly text: string;
	readonly scopes = [] as const;
	readonly #group: number;
	readonly #moment: ReturnMoment;
	readonly #returnMs: number;
	#dark: sites.Backend | undefined;
	#deaf: sites.Backend | undefined;

	constructor(group: number, moment: ReturnMoment, returnMs: number) {
		super();
		this.#group = group;
		this.#moment = moment;
		this.#returnMs = returnMs;
		this.text = `commits of group ${group} stall until a dark replica returns ${returnMs} ms after the ${moment}`;
	}

	override get unplannedScopes(): readonly contacts.Scope[] {
		return sites.serverScopes(this.#group);
	}

	override begin(site: sites.Site): void {
		const {name} = site.groups[this.#group];
		const [dark, deaf] = site.backends.filter(({group, server}) => group.name === name && server.role === 'replica');
		if (crash(site, dark)) {
			[this.#dark, this.#deaf] = [dark, deaf];
		}
	}

	override async hold(site: sites.Site, durationMs: number): Promise<void> {
		await site.time.sleep(removalMs);
		const [dark, deaf] = [this.#dark, this.#deaf];
		if (!dark || !deaf) {
			return;
		}

		deaf.server.isDeaf = true;
		const deadline = site.time.now() + (this.#moment === 'order' ? maxStarvationMs : durationMs);
		const {orderCount} = deaf.group;
		while (site.time.now() < deadline && (this.#moment === 'stall' || deaf.group.orderCount === orderCount)) {
			await site.time.sleep(orderPollMs);
		}

		await site.time.sleep(this.#returnMs);
		dark.server.isUnresponsive = false;
		await site.time.sleep(removalMs);
	}

	override end(site: sites.Site): void {
		if (this.#dark && this.#deaf) {
			this.#dark.server.isUnresponsive = false;
			this.#deaf.server.isDeaf = false;
			site.register(this.#dark, 'ready');
		}
	}
}

type ConnectionFaultKind = 'reset' | 'silenced' | 'one-way' | 'delayed' | 'refused';

/** Disturbs the connections to one server, or the links to one entry host. */
class ConnectionFault extends Fault {
	readonly text: string;
	readonly scopes: readonly contacts.Scope[];
	readonly #target: 'server' | 'host';
	readonly #index: number;
	readonly #kind: ConnectionFaultKind;

	constructor(target: 'server' | 'host', index: number, kind: ConnectionFaultKind) {
		super();
		this.#target = target;
		this.#index = index;
		this.#kind = kind;
		this.text = `connections to ${target} ${index} are ${kind}`;
		this.scopes = [`${target} ${index}`];
	}

	override begin(site: sites.Site): void {
		const link = this.#relay(site);
		switch (this.#kind) {
			case 'reset': {
				link.cut();
				break;
			}

			case 'silenced': {
				link.silence();
				break;
			}

			case 'one-way': {
				link.set({silentDirections: ['toNear']});
				break;
			}

			case 'delayed': {
				link.set({delayMs: 150});
				break;
			}

			case 'refused': {
				link.set({isRefusing: true});
				link.cut();
				break;
			}
		}
	}

	override end(site: sites.Site): void {
		this.#relay(site).set({delayMs: 1, isRefusing: false, silentDirections: []});
	}

	#relay(site: sites.Site): sites.Host['peerRelay'] {
		return this.#target === 'server' ? site.backends[this.#index].relay : site.hosts[this.#index].peerRelay;
	}
}

/** Crashes a server, unless another one of its group is down: with two, an acknowledged commit could be lost for good. */
function crash(site: sites.Site, backend: sites.Backend): boolean {
	const isAllowed = site.backends.every(other => other.group !== backend.group || !other.server.isUnresponsive);
	if (isAllowed) {
		backend.server.isUnresponsive = true;
		backend.listener.crash();
	}

	return isAllowed;
}

const maxDurationMs = 4000;
const maxOutageMs = 1500;
/** Longer stalls are disturbances: a peer without a sign of life for 800 ms counts as silent. */
const maxStallMs = 600;
const replacementPollMs = 50;
/** Time after which all hosts have removed a server without a registration, and the longest stall of commits. */
const removalMs = 3200;
const maxStarvationMs = 3000;
const orderPollMs = 10;
const signals = ['SIGKILL', 'SIGTERM', 'SIGSTOP', 'SIGHUP'] as const;
const storeStates = ['refused', 'silent', 'slow', 'answers-lost'] as const;
const serverFaultKinds = ['dark', 'lagging', 'losing answers', 'draining'] as const;
const connectionFaultKinds = ['reset', 'silenced', 'one-way', 'delayed', 'refused'] as const;

/** Draws a random fault. The draws and their order define what a seed means. */
export function draw(source: random.Source, size: sites.Size): Fault {
	const pick = <T>(all: readonly T[]): T => all[source.integer(0, all.length - 1)];
	const host = source.integer(0, size.hosts - 1);
	const server = source.integer(0, (size.groups * 3) - 1);
	const kind = source.integer(0, 19);
	if (kind < 6) {
		return new Signal(host, pick(signals));
	}

	if (kind < 9) {
		return new StoreFault(pick(storeStates), source.integer(0, 1) === 0 ? host : undefined);
	}

	if (kind < 13) {
		return new ServerFault(server, pick(serverFaultKinds));
	}

	if (kind < 17) {
		return source.integer(0, 1) === 0 ? new ConnectionFault('server', server, pick(connectionFaultKinds)) : new ConnectionFault('host', host, pick(connectionFaultKinds));
	}

	return kind === 19 ? new Outage() : new StoreChange(pick(['compact', 'configure']));
}
