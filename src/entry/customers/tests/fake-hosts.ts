/**
Several hosts with the real quotas of customers, on clocks of different rates. Hosts stop, pause and restart, links are cut
in one or both directions, and lists of hosts and versions of the configuration reach each host late. The fleet records when
each operation was admitted, and every window with more operations than the bound.
*/
import type * as types from '../../../generated/types.js';
import * as clock from '../../../core/clock.js';
import * as random from '../../../core/random.js';
import * as decisions from '../../decisions.js';
import type * as directories from '../directory.js';
import type * as limiters from '../limiter.js';
import type * as counter from '../quota/counter.js';
import type * as counters from '../quota/counters.js';
import * as quotas from '../quota/quotas.js';
import * as sources from '../quota/source.js';

export const bound: types.QuotaBound = {windowS: 5, overage: 0.1, slack: 20};
const windowMs = bound.windowS * 1000;

/** Time after which a link without messages of the other side is closed. */
const linkTimeoutMs = 800;
const retryDelayMs = 500;
/** One-way delays of messages. */
const delaysMs: Readonly<Record<counters.Distance, number>> = {
	'same host': 0, 'same place': 0.3, 'same region': 3.5, 'other region': 8,
};
/** Longest time until a host has a change of the list of hosts or of the configuration. */
const maxSpreadMs = 2000;
const maxAttempts = 3;
/** Part of the admitted operations that don't run, and time after which a session returns them. */
const notRunPercent = 3;
const returnDelayMs = 300;

/** The clock of one host: nothing that the host waits for ends while its process is paused. */
class HostClock extends clock.Clock {
	readonly #time: clock.Clock;
	readonly #rate: number;
	#pausedUntil = 0;

	constructor(time: clock.Clock, rate: number) {
		super();
		this.#time = time;
		this.#rate = rate;
	}

	override now(): number {
		return this.#time.now() * this.#rate;
	}

	override async sleep(ms: number, signal?: AbortSignal): Promise<void> {
		await this.#time.sleep(ms / this.#rate, signal);
		await this.awaitRunning();
	}

	override async poll(): Promise<void> {
		await this.awaitRunning();
	}

	pause(ms: number): void {
		this.#pausedUntil = this.#time.now() + ms;
	}

	async awaitRunning(): Promise<void> {
		while (this.#time.now() < this.#pausedUntil) {
			await this.#time.sleep(this.#pausedUntil - this.#time.now());
		}
	}
}

/** A source that loses messages while the link is cut, as a link over TCP closes after a while. */
class Link extends sources.Source {
	override readonly distance: counters.Distance;
	readonly #fleet: Fleet;
	readonly #from: Host;
	readonly #to: Host;
	readonly #confirm: (host: string, view: number) => void;

	constructor(from: Host, to: Host, distance: counters.Distance, confirm: (host: string, view: number) => void) {
		super();
		this.distance = distance;
		this.#fleet = from.fleet;
		this.#from = from;
		this.#to = to;
		this.#confirm = confirm;
	}

	override get name(): string {
		return this.#to.name;
	}

	override get isOpen(): boolean {
		return this.#from.openTo.get(this.name) === this.#to.process;
	}

	override get isUsable(): boolean {
		return this.isOpen || !this.#from.failedAt.has(this.name);
	}

	override connect(): void {
		const failedAt = this.#from.failedAt.get(this.name) ?? Number.NEGATIVE_INFINITY;
		if (!this.isOpen && this.#fleet.time.now() - failedAt >= retryDelayMs) {
			void this.#open();
		}
	}

	override async request(customer: string, wanted: number, timeoutMs: number): Promise<counter.Grant | undefined> {
		if (!this.isOpen && !await this.#open()) {
			return undefined;
		}

		const {process} = this.#to;
		this.#count();
		await this.#fleet.time.sleep(this.#delayMs());
		if (this.#fleet.isCut(this.#from, this.#to) || process === undefined || this.#to.process !== process) {
			return this.#lose(timeoutMs);
		}

		await this.#to.clock.awaitRunning();
		if (this.#to.process !== process) {
			return this.#lose(timeoutMs);
		}

		const answer = process.answer({
			kind: 'quota-request', id: 1, customer, count: wanted,
		});
		this.#count();
		await this.#fleet.time.sleep(this.#delayMs());
		if (this.#fleet.isCut(this.#to, this.#from)) {
			return this.#lose(timeoutMs);
		}

		await this.#from.clock.awaitRunning();
		this.#confirm(this.name, answer.view);
		return answer;
	}

	async #open(): Promise<boolean> {
		const {process} = this.#to;
		await this.#fleet.time.sleep(2 * this.#delayMs());
		const isOpened = process !== undefined && this.#to.process === process && !this.#fleet.isCut(this.#from, this.#to) && !this.#fleet.isCut(this.#to, this.#from);
		if (isOpened) {
			this.#from.openTo.set(this.name, process);
			this.#from.failedAt.delete(this.name);
		} else {
			this.#from.failedAt.set(this.name, this.#fleet.time.now());
		}

		return isOpened;
	}

	/** Loses a message, after which the link closes. */
	async #lose(timeoutMs: number): Promise<undefined> {
		await this.#fleet.time.sleep(Math.min(timeoutMs, linkTimeoutMs));
		this.#from.openTo.delete(this.name);
		this.#from.failedAt.set(this.name, this.#fleet.time.now());
		return undefined;
	}

	#count(): void {
		this.#fleet.messages++;
		this.#fleet.distantMessages += this.distance === 'same place' ? 0 : 1;
	}

	#delayMs(): number {
		return delaysMs[this.distance];
	}
}

/** One host. */
export class Host {
	readonly fleet: Fleet;
	readonly announcement: counters.Host;
	readonly clock: HostClock;
	/** The running process; `undefined` while there is none. */
	process: quotas.Quotas | undefined;
	/** Hosts that don't share a group with this one can't reach it. */
	group = 0;
	isCutFromAll = false;
	/** Announced hosts and customers, as this host knows them. */
	list: readonly counters.Host[] = [];
	customers: readonly directories.Customer[] = [];
	/** The state of its links, by name of the other host: its process, or the time of the last failure. */
	readonly openTo = new Map<string, quotas.Quotas>();
	readonly failedAt = new Map<string, number>();
	#stopped = new AbortController();

	constructor(fleet: Fleet, announcement: counters.Host, clockRate: number) {
		this.fleet = fleet;
		this.announcement = announcement;
		this.clock = new HostClock(fleet.time, clockRate);
	}

	get name(): string {
		return this.announcement.name;
	}

	start(): void {
		if (this.process) {
			return;
		}

		this.#stopped = new AbortController();
		const {signal} = this.#stopped;
		const process = new quotas.Quotas({
			self: this.name,
			clock: this.clock,
			decisions: new decisions.Silent(),
			bound,
			reach: (name, distance, confirm) => new Link(this, this.fleet.find(name), distance, confirm),
		});
		this.process = process;
		process.updateHosts(this.list);
		process.updateCustomers(this.customers);
		void process.run(signal);
	}

	stop(): void {
		this.#stopped.abort();
		this.process = undefined;
		this.openTo.clear();
		this.failedAt.clear();
	}

	apply(change: {readonly list?: readonly counters.Host[]; readonly customers?: readonly directories.Customer[]}): void {
		if (change.list) {
			this.list = change.list;
			this.process?.updateHosts(change.list);
		}

		if (change.customers) {
			this.customers = change.customers;
			this.process?.updateCustomers(change.customers);
		}
	}
}

/** A customer's operations, and what was refused. */
export type Tally = {readonly admittedAt: number[]; asked: number; refused: number};

/** A version of the configuration: the time from which it is in force everywhere, and from which it is somewhere. */
type Version = {readonly customers: readonly directories.Customer[]; readonly since: number; everywhereSince: number};

/** The hosts of a model. */
export class Fleet {
	readonly time = new clock.Manual();
	readonly hosts: Host[] = [];
	readonly records = new Map<string, Tally>();
	readonly versions: Version[] = [];
	/** Requests and answers that hosts have sent, and those of them that were sent to other places. */
	messages = 0;
	distantMessages = 0;
	readonly #random: random.Source;
	/** Directions in which nothing passes, as two names. */
	readonly #cuts = new Set<string>();
	#list: readonly counters.Host[] = [];

	constructor(seed: number) {
		this.#random = new random.Seeded(seed);
	}

	find(name: string): Host {
		return this.hosts.find(host => host.name === name)!;
	}

	/** Creates hosts that are announced and started together, and know each other. */
	create(count: number, customers: readonly directories.Customer[]): void {
		for (let index = 0; index < count; index++) {
			this.#add(`h${index}`, `${'abc'[index % 3]}${index % 6}`, index < count / 4 ? 1.35 : 0.3);
		}

		this.versions.push({customers, since: 0, everywhereSince: 0});
		for (const host of this.hosts) {
			host.list = this.#list;
			host.customers = customers;
			host.start();
		}
	}

	/** Adds a host that takes the place of others in rank. */
	join(place: number): void {
		const added = this.#add(`h${this.hosts.length}`, `${'abc'[place % 3]}${place % 6}`, 1.35);
		added.customers = this.versions.at(-1)!.customers;
		added.list = this.#list;
		for (const host of this.hosts) {
			void this.#tell(host, {list: this.#list});
		}

		// The process runs before it is on the list.
		added.list = this.#list.filter(({name}) => name !== added.name);
		added.start();
	}

	/** Puts a version of the configuration in force. */
	async configure(customers: readonly directories.Customer[]): Promise<void> {
		const version = {customers, since: this.time.now(), everywhereSince: Number.POSITIVE_INFINITY};
		this.versions.push(version);
		await Promise.all(this.hosts.map(async host => this.#tell(host, {customers})));
		version.everywhereSince = this.time.now();
	}

	/** Cuts what one host sends to another. */
	async cut(from: Host, to: Host, forMs: number): Promise<void> {
		this.#cuts.add(`${from.name} ${to.name}`);
		await this.time.sleep(forMs);
		this.#cuts.delete(`${from.name} ${to.name}`);
	}

	isCut(from: Host, to: Host): boolean {
		return from.isCutFromAll || to.isCutFromAll || from.group !== to.group || this.#cuts.has(`${from.name} ${to.name}`);
	}

	/** Sends a caller's operation to random hosts until one admits it. */
	async call(name: string): Promise<void> {
		const record = this.records.get(name) ?? {admittedAt: [], asked: 0, refused: 0};
		this.records.set(name, record);
		record.asked++;
		for (let attempt = 0; attempt < maxAttempts; attempt++) {
			const running = this.hosts.filter(({process}) => process);
			const host = running[this.#random.integer(0, Math.max(0, running.length - 1))];
			if (host && await this.#admit(host, name, record)) {
				return;
			}
		}

		record.refused++;
	}

	/** Plays callers of customers at a number of operations a second each, at random times. */
	async play(forMs: number, rates: ReadonlyMap<string, number>): Promise<void> {
		const end = this.time.now() + forMs;
		await Promise.all([...rates].map(async ([name, perS]) => this.#playCustomer(name, perS, end)));
	}

	/** Windows with more operations than the bound of any version that may be in force in them. */
	violations(): string[] {
		return [...this.records].flatMap(([name, {admittedAt}]) => {
			const times = admittedAt.toSorted((one, other) => one - other);
			let first = 0;
			return times.flatMap((at, index) => {
				while (times[first] < at - windowMs) {
					first++;
				}

				const [count, limit] = [index - first + 1, this.limit(name, times[first])];
				return count > limit ? [`${name} from ${Math.round(times[first])}: ${count} of ${limit}`] : [];
			}).slice(0, 3);
		});
	}

	/** The bound on a window from a time on: a lower limit applies from one window after it is in force everywhere. */
	limit(name: string, from: number): number {
		const limits = this.versions.filter((_, index) => from < (this.versions[index + 1]?.everywhereSince ?? Number.POSITIVE_INFINITY) + windowMs).map(({customers}) => {
			const customer = customers.find(other => other.name === name);
			return customer ? (((customer.operationsPerS * bound.windowS) + customer.burst) * (1 + bound.overage)) + bound.slack : 0;
		});
		return Math.max(...limits);
	}

	/** The largest part of a window's bound that was used. */
	usage(name: string): number {
		const times = (this.records.get(name)?.admittedAt ?? []).toSorted((one, other) => one - other);
		let [first, largest] = [0, 0];
		for (const [index, at] of times.entries()) {
			while (times[first] < at - windowMs) {
				first++;
			}

			largest = Math.max(largest, (index - first + 1) / this.limit(name, times[first]));
		}

		return largest;
	}

	async stop(): Promise<void> {
		for (const host of this.hosts) {
			host.stop();
		}

		await this.time.advance(windowMs);
	}

	#add(name: string, place: string, capacity: number): Host {
		const added = new Host(this, {
			name, place, region: place.slice(0, 1), peer: '127.0.0.1:1', capacity,
		}, 1 + (this.#random.integer(-10, 10) / 1000));
		this.hosts.push(added);
		this.#list = [...this.#list, added.announcement];
		return added;
	}

	/** Tells a host about a change after a delay, and not while it is cut off. */
	async #tell(host: Host, change: Parameters<Host['apply']>[0]): Promise<void> {
		await this.time.sleep(this.#random.integer(0, maxSpreadMs));
		while (host.isCutFromAll || host.group !== 0) {
			await this.time.sleep(100);
		}

		await host.clock.awaitRunning();
		const isNewest = change.list ? change.list.length > host.list.length : change.customers === this.versions.at(-1)!.customers;
		if (isNewest) {
			host.apply(change);
		}
	}

	async #playCustomer(name: string, perS: number, end: number): Promise<void> {
		while (this.time.now() < end) {
			await this.time.sleep(-Math.log(this.#random.integer(1, 1_000_000) / 1_000_000) * 1000 / perS);
			void this.call(name);
		}
	}

	async #admit(host: Host, name: string, record: Tally): Promise<boolean> {
		const {process, customers} = host;
		const customer = customers.find(other => other.name === name);
		await host.clock.awaitRunning();
		if (!process || !customer || host.process !== process) {
			return false;
		}

		const admission = await process.limiter.admit(customer);
		if (admission.kind !== 'admitted' || host.process !== process) {
			return false;
		}

		if (this.#random.integer(1, 100) <= notRunPercent) {
			void this.#release(process, customer, admission);
			return true;
		}

		record.admittedAt.push(this.time.now());
		return true;
	}

	async #release(process: quotas.Quotas, customer: directories.Customer, admission: limiters.Admission): Promise<void> {
		await this.time.sleep(this.#random.integer(0, returnDelayMs));
		process.limiter.release(customer, admission);
	}
}
