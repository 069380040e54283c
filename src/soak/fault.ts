/**
Faults of a soak, injected from outside the entry hosts: signals, a platform in trouble, servers that crash or lose answers,
and relays that delay, cut or silence connections.
*/
import type * as random from '../core/random.js';
import type * as platforms from './platform.js';
import * as replicated from './replicated.js';
import type * as sites from './site.js';

/** A fault that begins, and ends by itself after a while. */
export abstract class Fault {
	/** What happens, for the report. */
	abstract readonly text: string;

	abstract begin(site: sites.Site): void;

	/** Undoes what does not end by itself. */
	abstract end(site: sites.Site): void;
}

/** A signal to one entry host; a paused host goes on at the end. */
class Signal extends Fault {
	readonly text: string;
	readonly #host: number;
	readonly #signal: NodeJS.Signals;

	constructor(host: number, signal: NodeJS.Signals) {
		super();
		this.#host = host;
		this.#signal = signal;
		this.text = `${signal} to host ${host}`;
	}

	override begin(site: sites.Site): void {
		site.hosts[this.#host]?.child?.kill(this.#signal);
	}

	override end(site: sites.Site): void {
		if (this.#signal === 'SIGSTOP') {
			site.hosts[this.#host]?.child?.kill('SIGCONT');
		}
	}
}

/** Every host is killed. */
class Outage extends Fault {
	readonly text: string;

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
		// Hosts are started again by the site.
	}
}

/** The store is in trouble, for one host or for all. */
class Trouble extends Fault {
	readonly text: string;
	readonly #weather: platforms.Weather;
	readonly #host: string | undefined;

	constructor(weather: platforms.Weather, host: string | undefined) {
		super();
		this.#weather = weather;
		this.#host = host;
		this.text = host === undefined ? `the store is ${weather}` : `the store turns ${host} away`;
	}

	override begin(site: sites.Site): void {
		if (this.#host === undefined) {
			site.platform.weather = this.#weather;
		} else {
			site.platform.turnedAway.add(this.#host);
		}
	}

	override end(site: sites.Site): void {
		if (this.#host === undefined) {
			site.platform.weather = 'well';
		} else {
			site.platform.turnedAway.delete(this.#host);
		}
	}
}

/** The store forgets its history, or the operators write a new configuration. */
class Change extends Fault {
	readonly text: string;
	readonly #kind: 'compact' | 'configure';

	constructor(kind: 'compact' | 'configure') {
		super();
		this.#kind = kind;
		this.text = kind === 'compact' ? 'the store forgets its history' : 'a new configuration';
	}

	override begin(site: sites.Site): void {
		if (this.#kind === 'compact') {
			site.platform.compact();
		} else {
			site.configure();
		}
	}

	override end(): void {
		// It stays.
	}
}

/** What befalls a server. */
type Harm = 'dark' | 'lagging' | 'losing answers' | 'draining';

/** One server of a group crashes, lags, loses answers or is to be replaced as primary. */
class Harmed extends Fault {
	readonly text: string;
	readonly #index: number;
	readonly #harm: Harm;

	constructor(index: number, harm: Harm) {
		super();
		this.#index = index;
		this.#harm = harm;
		this.text = `server ${index} is ${harm}`;
	}

	override begin(site: sites.Site): void {
		const backend = site.backends[this.#index];
		switch (this.#harm) {
			case 'dark': {
				// A second server of a group that is down could take an acknowledged commit with it for good.
				if (site.backends.every(other => other.group !== backend.group || !other.server.isDark)) {
					backend.server.isDark = true;
					backend.listener.crash();
				}

				break;
			}

			case 'lagging': {
				backend.server.lagMs = 600;
				break;
			}

			case 'losing answers': {
				backend.server.lostShare = 0.05;
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
		backend.server.isDark = false;
		backend.server.lagMs = replicated.usualLagMs;
		backend.server.lostShare = 0;
		site.register(backend, 'ready');
	}
}

/** What befalls connections. */
type Cut = 'reset' | 'silenced' | 'one-way' | 'delayed' | 'refused';

/** Connections to a server or between hosts are harmed. */
class Connections extends Fault {
	readonly text: string;
	readonly #to: 'server' | 'host';
	readonly #index: number;
	readonly #cut: Cut;

	constructor(to: 'server' | 'host', index: number, cut: Cut) {
		super();
		this.#to = to;
		this.#index = index;
		this.#cut = cut;
		this.text = `connections to ${to} ${index} are ${cut}`;
	}

	override begin(site: sites.Site): void {
		const link = this.#relay(site);
		switch (this.#cut) {
			case 'reset': {
				link.cut();
				break;
			}

			case 'silenced': {
				link.silence();
				break;
			}

			case 'one-way': {
				link.set({silent: ['toNear']});
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
		this.#relay(site).set({delayMs: 1, isRefusing: false, silent: []});
	}

	#relay(site: sites.Site): sites.Host['peer'] {
		return this.#to === 'server' ? site.backends[this.#index].relay : site.hosts[this.#index].peer;
	}
}

const signals = ['SIGKILL', 'SIGTERM', 'SIGSTOP', 'SIGHUP'] as const;
const weathers = ['refused', 'silent', 'slow', 'answers-lost'] as const;
const harms = ['dark', 'lagging', 'losing answers', 'draining'] as const;
const cuts = ['reset', 'silenced', 'one-way', 'delayed', 'refused'] as const;

/** Draws a fault. */
export function draw(source: random.Source, size: sites.Size): Fault {
	const pick = <T>(all: readonly T[]): T => all[source.integer(0, all.length - 1)];
	const host = source.integer(0, size.hosts - 1);
	const server = source.integer(0, (size.groups * 3) - 1);
	const kind = source.integer(0, 19);
	if (kind < 6) {
		return new Signal(host, pick(signals));
	}

	if (kind < 9) {
		return new Trouble(pick(weathers), source.integer(0, 1) === 0 ? `entry-${host}` : undefined);
	}

	if (kind < 13) {
		return new Harmed(server, pick(harms));
	}

	if (kind < 17) {
		return source.integer(0, 1) === 0 ? new Connections('server', server, pick(cuts)) : new Connections('host', host, pick(cuts));
	}

	return kind === 19 ? new Outage() : new Change(pick(['compact', 'configure']));
}
