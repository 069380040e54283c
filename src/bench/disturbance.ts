/**
Situations in which the delay of configurations is measured: what disturbs the fleet while the operator changes it.
*/
import * as childProcess from 'node:child_process';
import process from 'node:process';
import type * as random from '../core/random.js';
import type * as contacts from '../soak/contact.js';
import type * as platforms from '../soak/platform.js';
import type * as fleets from './hosts.js';

export type Context = {readonly fleet: fleets.Fleet; readonly contact: contacts.Contact; readonly random: random.Source};

/** Bounds of the time between two disturbances of the store, long enough for the bound to hold in a part of it. */
const lowestStoreGapMs = 3000;
const highestStoreGapMs = 10_000;

/** One kind of disturbance, repeated until the measurement ends. */
export abstract class Situation {
	protected readonly fleet: fleets.Fleet;
	protected readonly random: random.Source;
	readonly #contact: contacts.Contact;

	constructor({fleet, contact, random: source}: Context) {
		this.fleet = fleet;
		this.random = source;
		this.#contact = contact;
	}

	/** Ends what lasts through the whole measurement. */
	stop(): void {
		// Most situations have nothing that lasts.
	}

	/** Disturbs once; resolves after the disturbance. */
	abstract disturb(): Promise<void>;

	protected drawHost(): fleets.Host {
		return this.fleet.hosts[this.random.integer(0, this.fleet.hosts.length - 1)];
	}

	/** Runs `disturb` while none of the scopes counts as left alone. */
	protected async during(scopes: readonly contacts.Scope[], disturb: () => Promise<void>): Promise<void> {
		this.#contact.begin(scopes);
		await disturb();
		this.#contact.end(scopes);
	}

	protected async sleep(lowestMs: number, highestMs: number): Promise<void> {
		await this.fleet.time.sleep(this.random.integer(lowestMs, highestMs));
	}
}

/** Nothing happens. */
class Calm extends Situation {
	override async disturb(): Promise<void> {
		await this.sleep(1000, 1000);
	}
}

/** Busy processes take processor time. */
class Busy extends Situation {
	readonly #children: childProcess.ChildProcess[];

	constructor(context: Context, processors: string, count: number) {
		super(context);
		const pinned = processors === '' ? [] : ['taskset', '-c', processors];
		const [command = '', ...parameters] = [...pinned, process.execPath, '--eval', 'for (;;);'];
		this.#children = Array.from({length: count}, () => childProcess.spawn(command, parameters, {stdio: 'ignore'}));
	}

	override async disturb(): Promise<void> {
		await this.sleep(1000, 1000);
	}

	override stop(): void {
		for (const child of this.#children) {
			child.kill('SIGKILL');
		}
	}
}

/** The store goes away and comes back from a copy. */
class Restores extends Situation {
	override async disturb(): Promise<void> {
		await this.sleep(lowestStoreGapMs, highestStoreGapMs);
		const copiedAt = this.fleet.time.now() - this.random.integer(2000, 9000);
		await this.during(['store'], async () => {
			this.fleet.platform.state = 'refused';
			await this.sleep(300, 2500);
			this.fleet.platform.state = 'well';
			await this.fleet.platform.restore(copiedAt);
		});
	}
}

/** Hosts are killed or shut down, one or a few at a time, and start again. */
class Restarts extends Situation {
	override async disturb(): Promise<void> {
		await this.sleep(300, 3000);
		const hosts = new Set(Array.from({length: this.random.integer(1, 4)}, () => this.drawHost()));
		await Promise.all([...hosts].map(async host => this.during([`host ${host.index}`], async () => {
			await this.fleet.endProcess(host, this.random.integer(0, 1) === 0 ? 'SIGKILL' : 'SIGTERM');
			await this.sleep(50, 400);
			this.fleet.startProcess(host);
		})));
	}
}

/** Hosts stop for a moment: one, or all of them. */
class Stalls extends Situation {
	override async disturb(): Promise<void> {
		await this.sleep(200, 2500);
		const hosts = this.random.integer(0, 9) === 0 ? this.fleet.hosts : [this.drawHost()];
		await this.during(hosts.map(({index}) => `host ${index}` as const), async () => {
			this.#signal(hosts, 'SIGSTOP');
			await this.sleep(100, 600);
			this.#signal(hosts, 'SIGCONT');
		});
	}

	#signal(hosts: readonly fleets.Host[], signal: 'SIGSTOP' | 'SIGCONT'): void {
		for (const {child} of hosts) {
			child?.kill(signal);
		}
	}
}

/** The store is silent, slow, refuses or loses answers for a while. */
class Store extends Situation {
	override async disturb(): Promise<void> {
		await this.sleep(lowestStoreGapMs, highestStoreGapMs);
		const states: readonly platforms.State[] = ['silent', 'slow', 'answers-lost', 'refused'];
		await this.during(['store'], async () => {
			this.fleet.platform.state = states[this.random.integer(0, states.length - 1)];
			await this.sleep(200, 5000);
			this.fleet.platform.state = 'well';
		});
	}
}

/** A host can't reach the store, or its links pass data in one direction only. */
class Cuts extends Situation {
	override async disturb(): Promise<void> {
		await this.sleep(300, 3000);
		const host = this.drawHost();
		await this.during([`host ${host.index}`], async () => {
			const {platform} = this.fleet;
			if (this.random.integer(0, 1) === 0) {
				platform.refusedHosts.add(host.name);
				await this.sleep(300, 4000);
				platform.refusedHosts.delete(host.name);
			} else {
				host.peerRelay.set({silentDirections: [this.random.integer(0, 1) === 0 ? 'toFar' : 'toNear']});
				await this.sleep(300, 4000);
				host.peerRelay.set({silentDirections: []});
			}
		});
	}
}

/** All of them in series. */
class Mixed extends Situation {
	readonly #situations: readonly Situation[];

	constructor(context: Context) {
		super(context);
		this.#situations = [new Restores(context), new Restarts(context), new Stalls(context), new Store(context), new Cuts(context)];
	}

	override async disturb(): Promise<void> {
		await this.#situations[this.random.integer(0, this.#situations.length - 1)].disturb();
	}
}

export const names = ['calm', 'load', 'restores', 'restarts', 'stalls', 'store', 'cuts', 'mixed'] as const;
export type Name = (typeof names)[number];

/** Whether a situation disturbs links between hosts. */
export function needsRelays(name: Name): boolean {
	return name === 'cuts' || name === 'mixed';
}

/** Creates the situation of this name. `busy` processes run beside the hosts in the situation `load`. */
export function create(name: Name, context: Context, {processors, busy}: {readonly processors: string; readonly busy: number}): Situation {
	switch (name) {
		case 'calm': {
			return new Calm(context);
		}

		case 'load': {
			return new Busy(context, processors, busy);
		}

		case 'restores': {
			return new Restores(context);
		}

		case 'restarts': {
			return new Restarts(context);
		}

		case 'stalls': {
			return new Stalls(context);
		}

		case 'store': {
			return new Store(context);
		}

		case 'cuts': {
			return new Cuts(context);
		}

		case 'mixed': {
			return new Mixed(context);
		}
	}
}
