/**
An in-memory database group behind `backend.Server`, and its owners. The servers record their own actions, from which the
oracle `violations` derives its findings.
*/
import * as Either from 'fp-ts/lib/Either.js';
import type * as types from '../../generated/types.js';
import * as store from '../../store/store.js';
import type * as acknowledgement from '../acknowledgement.js';
import * as backend from '../backend.js';
import * as claim from '../claim.js';
import * as clock from '../clock.js';
import * as errors from '../errors.js';
import * as group from '../group.js';
import * as peers from '../peers.js';
import * as position from '../position.js';
import * as promotion from '../promotion.js';
import * as random from '../random.js';
import * as retry from '../retry.js';
import * as settlement from '../settlement.js';
import * as write from '../write.js';

export type Entry = position.Position & {readonly id: string};
/** Messages that are lost between an owner and a server. */
export type Loss = 'none' | 'requests' | 'answers';
export type Step = 'corroboration' | 'adopt' | 'promote' | 'follow';
/** A promotion recorded by the promoted server, with its log at that time. */
export type Promoted = {readonly at: number; readonly term: number; readonly server: string; readonly log: readonly Entry[]};
/** A status that a server reported, with the logical time of the report. */
type Reported = {readonly at: number; readonly status: backend.Status};
type Acknowledged = {readonly id: string; readonly position: position.Position; readonly at: number};

export const timing = {
	probeIntervalMs: 40, probeTimeoutMs: 40, suspectAfterMs: 100, isolationDelayMs: 100,
};
/**
One-way delays in ms of the owners' links. They differ, so that an owner's claim can arrive after another owner's promotion
in the same term.
*/
const linkDelaysMs = [1, 8];
const replicationIntervalMs = 5;

/** The actual state of one server. Its log and term are durable; its role is lost in a restart. */
export class Machine {
	readonly log: Entry[] = [];
	readonly reported: Reported[] = [];
	role: types.Role = 'replica';
	term = 1;
	claimant = '';
	/** Term in which the server was primary until it adopted the current one. Its followers may still fetch its log. */
	servedTerm = 0;
	following = '';
	isUp = true;
	isLeaving = false;

	constructor(readonly name: string, readonly site: Site) {}

	get status(): backend.Status {
		const history = this.log.filter(({term}, index) => term !== this.log[index - 1]?.term).map(({term, index}) => ({term, start: index}));
		const {term, index} = this.log.at(-1) ?? {term: 0, index: 0};
		return {
			server: this.name, role: this.role, term: this.term, claimant: this.claimant, last: {term, index}, history,
			following: this.following, connections: 0, connectionLimit: 16, leaving: this.isLeaving,
		};
	}

	report(): backend.Status {
		const {status} = this;
		this.reported.push({at: this.site.tick(), status});
		return status;
	}

	adopt(term: number, claimant: string): boolean {
		this.site.hooks.reached('adopt');
		if (term > this.term) {
			this.servedTerm = this.role === 'primary' ? this.term : 0;
			this.term = term;
			this.claimant = claimant;
			this.role = 'replica';
			this.following = '';
			return true;
		}

		return term === this.term && claimant !== '' && claimant === this.claimant;
	}

	promote(term: number, claimant: string): boolean {
		this.site.hooks.reached('promote');
		if (term !== this.term || claimant !== this.claimant) {
			return false;
		}

		if (this.role === 'replica') {
			this.role = 'primary';
			this.servedTerm = 0;
			this.following = '';
			this.append('');
			this.site.promoted.push({
				at: this.site.tick(), term, server: this.name, log: [...this.log],
			});
		}

		return true;
	}

	follow(primary: string, term: number): boolean {
		this.site.hooks.reached('follow');
		if (term < this.term || (term === this.term && this.role === 'primary')) {
			return false;
		}

		if (term > this.term) {
			this.adopt(term, '');
		}

		this.servedTerm = 0;
		this.following = primary;
		return true;
	}

	append(id: string): position.Position {
		this.log.push({term: this.term, index: this.log.length + 1, id});
		return {term: this.term, index: this.log.length};
	}

	/** Drops the entries that the followed server does not have, then fetches one entry from it. */
	replicate(): void {
		const source = this.site.machines.get(this.following);
		const isSource = source?.isUp && (source.role === 'primary' ? source.term : source.servedTerm) === this.term;
		if (!this.isUp || !source || !isSource || this.site.isCut(this.name, source.name)) {
			return;
		}

		while (this.log.length > 0 && source.log[this.log.length - 1]?.term !== this.log.at(-1)?.term) {
			this.log.pop();
		}

		const next = source.log[this.log.length];
		if (next) {
			this.log.push(next);
		}
	}

	stop(): void {
		this.isUp = false;
		this.role = 'replica';
		this.servedTerm = 0;
	}
}

/** The clock of an owner. While the owner is paused, its sleeps don't end. */
class Pausable extends clock.Clock {
	#resumed: Promise<void> = Promise.resolve();
	#resume: (() => void) | undefined;

	constructor(readonly base: clock.Manual) {
		super();
	}

	pause(): void {
		this.#resumed = this.#resume
			? this.#resumed
			: new Promise(resolve => {
				this.#resume = resolve;
			});
	}

	resume(): void {
		this.#resume?.();
		this.#resume = undefined;
	}

	async wait(): Promise<void> {
		await this.#resumed;
	}

	override async poll(): Promise<void> {
		await this.base.poll();
	}

	override now(): number {
		return this.base.now();
	}

	override async sleep(ms: number, signal?: AbortSignal): Promise<void> {
		await this.base.sleep(ms, signal);
		await this.#resumed;
	}
}

/** One owner's access to a server. */
class Link extends backend.Server {
	constructor(readonly machine: Machine, readonly owner: Owner) {
		super();
	}

	override get name(): string {
		return this.machine.name;
	}

	override get place(): string {
		return this.machine.name;
	}

	override async connect(timeoutMs: number): Promise<errors.Outcome<backend.Connection>> {
		const loss = this.owner.losses.get(this.name) ?? 'none';
		await this.owner.clock.sleep(loss === 'none' ? this.owner.linkDelayMs * 2 : timeoutMs);
		return loss === 'none' && this.machine.isUp ? Either.right(new Connection(this)) : errors.fail('not-run', 'connect', this.name, 'refused');
	}
}

class Connection extends backend.Connection {
	override isOpen = true;

	constructor(readonly link: Link) {
		super();
	}

	override get server(): string {
		return this.link.name;
	}

	override async execute(sql: string, timeoutMs: number): Promise<errors.Outcome<backend.Answer>> {
		const outcome = await this.#exchange(machine => machine.role === 'primary' ? machine.append(sql) : null, timeoutMs);
		if (Either.isLeft(outcome)) {
			return outcome;
		}

		return outcome.right
			? Either.right({
				kind: 'ok', affectedRows: 1, insertId: 0, position: outcome.right, server: this.server,
			})
			: Either.left(errors.database(this.server, 'read-only', 1290));
	}

	override async status(timeoutMs: number) {
		return this.#exchange(machine => machine.report(), timeoutMs);
	}

	override async adoptTerm(term: number, claimant: string, timeoutMs: number) {
		return this.#exchange(machine => ({granted: machine.adopt(term, claimant), status: machine.report()}), timeoutMs);
	}

	override async promote(term: number, claimant: string, timeoutMs: number) {
		return this.#exchange(machine => ({granted: machine.promote(term, claimant), status: machine.report()}), timeoutMs);
	}

	override async follow(primary: string, term: number, timeoutMs: number) {
		return this.#exchange(machine => ({granted: machine.follow(primary, term), status: machine.report()}), timeoutMs);
	}

	override async wait(minPosition: position.Position, waitMs: number, timeoutMs: number) {
		const {machine, owner} = this.link;
		const end = owner.clock.now() + waitMs;
		while (position.relate(machine.status, minPosition) === 'behind' && owner.clock.now() < end) {
			await owner.clock.base.sleep(1);
		}

		return this.status(timeoutMs);
	}

	override async reset() {
		return Either.right(undefined);
	}

	override close(): void {
		this.isOpen = false;
	}

	async #exchange<T>(effect: (machine: Machine) => T, timeoutMs: number): Promise<errors.Outcome<T>> {
		const {machine, owner} = this.link;
		const loss = (): Loss => owner.losses.get(machine.name) ?? 'none';
		await owner.clock.base.sleep(owner.linkDelayMs);
		const isArrived = this.isOpen && machine.isUp && loss() !== 'requests';
		const result = isArrived ? effect(machine) : undefined;
		const isDelivered = isArrived && loss() === 'none';
		await owner.clock.sleep(isDelivered ? owner.linkDelayMs : timeoutMs);
		if (isDelivered || (isArrived && loss() === 'none' && machine.isUp)) {
			return Either.right(result as T);
		}

		this.close();
		return errors.fail('outcome-unknown', 'receive', this.server, 'no response');
	}
}

/** A fake store, which is down unless a test changes that. */
export class Objects extends store.Store {
	isDown = true;
	isLosingResponses = false;
	#entry: store.Entry = {key: '', version: 0, value: ''};

	override async read(): Promise<errors.Outcome<store.Entry>> {
		return this.isDown ? errors.fail('store', 'store', '', 'down') : Either.right(this.#entry);
	}

	override async update(key: string, value: string, expected: number): Promise<errors.Outcome<store.Entry>> {
		if (this.isDown || expected !== this.#entry.version) {
			return errors.fail(this.isDown ? 'store' : 'conflict', 'store', '', 'refused');
		}

		this.#entry = {key, version: expected + 1, value};
		return this.isLosingResponses ? errors.fail('store', 'store', '', 'response lost') : Either.right(this.#entry);
	}

	override async watch(): Promise<errors.Outcome<store.Entry>> {
		return this.read();
	}
}

/** An owner with the production observers, pools, writer and failover task. */
export class Owner extends peers.Peers {
	readonly clock: Pausable;
	readonly losses = new Map<string, Loss>();
	readonly name: string;
	readonly linkDelayMs: number;
	readonly group: group.Group;
	readonly promotion: promotion.Promotion;
	isPaused = false;
	readonly #writer: write.Writer;

	constructor(index: number, readonly site: Site, policy: 'ballot' | 'store', seed: number) {
		super();
		this.clock = new Pausable(site.clock);
		this.name = `entry-${index}`;
		this.linkDelayMs = linkDelaysMs[index % linkDelaysMs.length];
		const servers = [...site.machines.values()].map(machine => new Link(machine, this));
		this.group = new group.Group({
			name: 'ledgers', place: this.name, quota: 4, timing,
		}, servers, this.clock);
		this.promotion = new promotion.Promotion({
			group: this.group,
			host: this.name,
			timing,
			random: new random.Seeded(seed),
			policy: policy === 'ballot' ? new claim.Ballot(this.clock) : new claim.Store(site.store, this.clock),
			peers: this,
			store: site.store,
			recorder: site.recorder,
		});
		this.#writer = new write.Writer(this.group, new retry.Budget(), new settlement.Settlement(this.group));
		void this.group.run(site.stopped.signal);
		void this.promotion.run(site.stopped.signal);
	}

	override async corroborate(_group: string, term: number, server: string): Promise<readonly peers.Vote[]> {
		this.site.hooks.reached('corroboration');
		await this.clock.sleep(this.linkDelayMs * 2);
		return this.site.owners.filter(owner => owner !== this && !owner.isPaused)
			.map(owner => ({host: owner.name, place: owner.name, isSuspected: owner.promotion.suspects(term, server)}));
	}

	override announce(_group: string, term: number, server: string): void {
		for (const owner of this.site.owners) {
			owner.promotion.receiveNotice(term, server);
		}
	}

	pause(): void {
		this.isPaused = true;
		this.clock.pause();
	}

	resume(): void {
		this.isPaused = false;
		this.clock.resume();
	}

	async write(id: string, policy: acknowledgement.Policy): Promise<boolean> {
		const request: types.Request = {
			sql: id, session: '', service: 'ledgers', tenant: '', class: '', kind: 'write', transaction: 'none', position: null, maximumAgeMs: 0, requestId: id, deadlineMs: 1000,
		};
		const outcome = await this.#writer.execute(request, {
			isIdempotent: false, isRecordable: false, policy, permit: {release() {}}, // eslint-disable-line @typescript-eslint/no-empty-function
		});
		if (Either.isRight(outcome) && outcome.right.kind === 'ok' && outcome.right.position) {
			this.site.acknowledged.push({id, position: outcome.right.position, at: this.site.tick()});
			return true;
		}

		return false;
	}
}

/** Records the events of every owner. */
class Events extends promotion.Recorder {
	readonly list: promotion.Event[] = [];

	override record(event: promotion.Event): void {
		this.list.push(event);
	}
}

/** Three servers and their owners. */
export class Site {
	readonly clock = new clock.Manual();
	readonly stopped = new AbortController();
	readonly store = new Objects();
	readonly recorder = new Events();
	readonly machines = new Map<string, Machine>();
	readonly owners: Owner[];
	readonly promoted: Promoted[] = [];
	readonly acknowledged: Acknowledged[] = [];
	readonly cuts = new Set<string>();
	/** Called when a step of a change of primary reaches a server or peer. */
	readonly hooks: {reached: (step: Step) => void} = {reached: () => undefined};
	#ticks = 0;

	constructor(owners: number, policy: 'ballot' | 'store' = 'ballot', seed = 1) {
		for (const name of ['a', 'b', 'c']) {
			this.machines.set(name, new Machine(name, this));
			this.machine(name).following = name === 'a' ? '' : 'a';
		}

		this.machine('a').role = 'primary';
		this.machine('a').append('');
		this.owners = Array.from({length: owners}, (_, index) => new Owner(index, this, policy, seed + index));
		void this.#replicate();
	}

	get primaries(): string[] {
		const highest = Math.max(...[...this.machines.values()].map(({term}) => term));
		return [...this.machines.values()].filter(({role, term}) => role === 'primary' && term === highest).map(({name}) => name);
	}

	machine(name: string): Machine {
		return this.machines.get(name)!;
	}

	owner(index: number): Owner {
		return this.owners[index];
	}

	tick(): number {
		this.#ticks++;
		return this.#ticks;
	}

	isCut(one: string, other: string): boolean {
		return this.cuts.has(`${one}${other}`) || this.cuts.has(`${other}${one}`);
	}

	/** Clears every injected fault. */
	heal(): void {
		this.cuts.clear();
		for (const machine of this.machines.values()) {
			machine.isUp = true;
		}

		for (const owner of this.owners) {
			owner.losses.clear();
			owner.resume();
		}
	}

	async stop(): Promise<void> {
		this.heal();
		this.stopped.abort();
		await this.clock.advance(2000);
	}

	/** Violations of the safety guarantees, according to the servers' own records. */
	violations(): string[] {
		const terms = this.promoted.map(({term}) => term);
		const duplicates = terms.filter((term, index) => terms.indexOf(term) !== index).map(term => `two primaries of term ${term}`);
		return [...duplicates, ...this.acknowledged.flatMap(write => this.#checkWrite(write))];
	}

	#checkWrite({id, position: committed, at}: Acknowledged): string[] {
		const later = this.promoted.filter(({term}) => term > committed.term);
		const lost = later.filter(({log}) => !log.some(entry => entry.id === id))
			.map(({term}) => `write ${id} of term ${committed.term} is not in the log of the primary of term ${term}`);
		const replacedAt = Math.min(...later.map(promoted => promoted.at));
		const isConfirmed = [...this.machines.values()].some(machine => machine.reported.some(report =>
			report.at < at && report.at < replacedAt && report.status.role === 'replica' && report.status.term <= committed.term
			&& position.relate(report.status, committed) === 'contains'));
		return isConfirmed ? lost : [...lost, `write ${id} was acknowledged although no replica confirmed term ${committed.term} before the primary was replaced`];
	}

	async #replicate(): Promise<void> {
		while (!this.stopped.signal.aborted) {
			await this.clock.sleep(replicationIntervalMs);
			for (const machine of this.machines.values()) {
				machine.replicate();
			}
		}
	}
}

/** A server that accepts no connection. */
export class Unreachable extends backend.Server {
	override readonly place = '';

	/** The server refuses connections after `delayMs`. */
	constructor(override readonly name: string, readonly time?: clock.Clock, readonly delayMs = 0) {
		super();
	}

	override async connect(): Promise<errors.Outcome<backend.Connection>> {
		await this.time?.sleep(this.delayMs);
		return errors.fail('not-run', 'connect', this.name, 'refused');
	}
}
