/**
Several hosts in front of one fake group, each with its own view: its connections to a server, its links to other hosts and
its view of the store can fail alone, and it sees a registration when a test says so. The fleet records which commits were
confirmed to callers, and every one that a new primary lacks.
*/
import * as assert from 'node:assert/strict';
import * as Either from 'fp-ts/lib/Either.js';
import type * as types from '../../generated/types.js';
import * as clock from '../../core/clock.js';
import * as errors from '../../core/errors.js';
import * as random from '../../core/random.js';
import type * as authority from '../authority.js';
import * as backend from '../backend.js';
import * as claims from '../claims.js';
import * as decisions from '../decisions.js';
import * as failover from '../failover.js';
import * as groups from '../group.js';
import * as hosts from '../hosts.js';
import * as recorders from '../recorder.js';
import * as recoveries from '../recovery/recovery.js';
import * as reporters from '../reporter.js';
import * as states from '../state.js';
import type * as statement from '../statement.js';
import * as writes from '../write.js';
import * as cluster from './fake-cluster.js';

/** A step of a failover, at which a test can let something happen. */
export type Step = 'claim' | 'suspension' | 'fence' | 'choice' | 'order';

const service = 'ledgers';
const linkDelayMs = 4;
const storeDelayMs = 20;
/** Interval at which the fleet looks for a primary. */
const primaryPollMs = 20;
/** Time after the last registration from which failovers are possible, and after which a missing server is removed. */
const settleMs = 2700;
const answerTimeoutMs = 250;
/** Number of violations that are kept, and of lost commits that each lists. */
const maxListed = 5;
const writeIntervalMs = 10;
/** Time within which the events that a test waits for occur. */
const maxOrderOfEventsMs = 20_000;
/** Time for which a primary answers nobody. */
const silenceMs = 900;

/** How a host reaches one server. */
class Path extends backend.Server {
	/** Nothing passes in either direction. */
	isCut = false;
	/** The server refuses further connections of this host. */
	isAtLimit = false;
	readonly #server: cluster.Server;
	readonly #host: Host;
	readonly #onCommand: (command: statement.Command) => void;

	constructor(server: cluster.Server, host: Host, onCommand: (command: statement.Command) => void) {
		super();
		this.#server = server;
		this.#host = host;
		this.#onCommand = onCommand;
	}

	override get name(): string {
		return this.#server.name;
	}

	override get place(): string {
		return this.#server.place;
	}

	override async connect(timeoutMs: number): Promise<errors.Outcome<backend.Connection>> {
		if (this.isCut) {
			await this.#server.cluster.clock.sleep(timeoutMs);
			return errors.fail('not-run', 'connect', this.name, 'no response');
		}

		if (this.isAtLimit) {
			return errors.fail('not-run', 'admit', this.name, 'too many connections');
		}

		const outcome = await this.#server.connect(timeoutMs);
		await this.#host.awaitRunning();
		return Either.map((connection: backend.Connection): backend.Connection => new PathConnection(this, this.#host, connection, this.#onCommand))(outcome);
	}
}

/** A connection that loses what is sent while its path is cut. */
class PathConnection extends backend.Connection {
	readonly #path: Path;
	readonly #host: Host;
	readonly #connection: backend.Connection;
	readonly #onCommand: (command: statement.Command) => void;

	constructor(path: Path, host: Host, connection: backend.Connection, onCommand: (command: statement.Command) => void) {
		super();
		this.#path = path;
		this.#host = host;
		this.#connection = connection;
		this.#onCommand = onCommand;
	}

	override get server(): string {
		return this.#path.name;
	}

	override get isOpen(): boolean {
		return this.#connection.isOpen;
	}

	override async send(command: statement.Command, timeoutMs: number): Promise<errors.Outcome<statement.Reply>> {
		return this.#pass(async () => this.#connection.send(command, timeoutMs), command, timeoutMs);
	}

	override async requestStatus(command: statement.Command, timeoutMs: number): Promise<errors.Outcome<statement.ServerStatus>> {
		return this.#pass(async () => this.#connection.requestStatus(command, timeoutMs), command, timeoutMs);
	}

	override async reset(timeoutMs: number): Promise<errors.Outcome<void>> {
		return this.#pass(async () => this.#connection.reset(timeoutMs), {kind: 'reset'}, timeoutMs);
	}

	override close(): void {
		this.#connection.close();
	}

	async #pass<T>(send: () => Promise<errors.Outcome<T>>, command: statement.Command, timeoutMs: number): Promise<errors.Outcome<T>> {
		const {clock: time} = this.#host;
		const sentAt = time.now();
		if (!this.#path.isCut) {
			this.#onCommand(command);
			const outcome = await send();
			await this.#host.awaitRunning();
			if (!this.#path.isCut) {
				return outcome;
			}
		}

		await time.sleep(sentAt + timeoutMs - time.now());
		this.close();
		return errors.fail('outcome-unknown', 'receive', this.server, 'no response');
	}
}

/** Questions to the other hosts of the fleet. */
class FleetHosts extends hosts.Hosts {
	readonly #fleet: Fleet;
	readonly #self: () => Host;

	constructor(fleet: Fleet, self: () => Host) {
		super();
		this.#fleet = fleet;
		this.#self = self;
	}

	override prepare(): void {
		// Links are always open.
	}

	override async ask(question: hosts.Question): Promise<hosts.Answers> {
		const self = this.#self();
		this.#fleet.reach(question.order === 'suspend' ? 'suspension' : undefined, self);
		const others = this.#fleet.hosts.filter(host => host !== self);
		const answers = await Promise.all(others.map(async host => this.#fleet.time.limit(this.#askOne(host, question), answerTimeoutMs)));
		const reports = answers.flatMap(answer => answer ? [answer] : []);
		await self.awaitRunning();
		return {reports, isComplete: reports.length === others.length, asked: others.length};
	}

	async #askOne(host: Host, question: hosts.Question): Promise<types.LeaderReport | undefined> {
		const isLost = (): boolean => host.isLinkCut || this.#self().isLinkCut;
		await this.#fleet.time.sleep(linkDelayMs);
		if (isLost()) {
			return this.#lose();
		}

		await host.awaitRunning();
		const report = await host.reporter.answer({kind: 'leader-inquiry', id: 1, ...question});
		await this.#fleet.time.sleep(linkDelayMs);
		return isLost() || host.losesAnswers ? this.#lose() : report;
	}

	async #lose(): Promise<undefined> {
		await this.#fleet.time.sleep(answerTimeoutMs);
		return undefined;
	}
}

/** Decisions as lines of text, so that a failed test can show what the hosts did. */
class Journal extends decisions.Silent {
	readonly #write: (entry: string) => void;

	constructor(write: (entry: string) => void) {
		super();
		this.#write = write;
	}

	override record(name?: string, fields?: decisions.Fields): void {
		this.#write(`${name ?? ''} ${JSON.stringify(fields)}`);
	}
}

/** The clock of one host: nothing that the host waits for ends while its process is stopped. */
export class HostClock extends clock.Clock {
	readonly #time: clock.Clock;
	#stoppedUntil = 0;
	#hasEnded = false;

	constructor(time: clock.Clock) {
		super();
		this.#time = time;
	}

	override now(): number {
		return this.#time.now();
	}

	override async sleep(ms: number, signal?: AbortSignal): Promise<void> {
		await this.#time.sleep(ms, signal);
		await this.awaitRunning();
	}

	override async poll(): Promise<void> {
		await this.#time.poll();
		await this.awaitRunning();
	}

	/** Stops the process for `ms`. */
	stop(ms: number): void {
		this.#stoppedUntil = this.#time.now() + ms;
	}

	/** Ends the process. */
	end(): void {
		this.#hasEnded = true;
	}

	async awaitRunning(): Promise<void> {
		if (this.#hasEnded) {
			await new Promise(() => {
				// An ended process never goes on.
			});
		}

		while (this.#time.now() < this.#stoppedUntil) {
			await this.#time.sleep(this.#stoppedUntil - this.#time.now());
			await this.awaitRunning();
		}
	}
}

/** One host of the fleet. */
export class Host {
	readonly name: string;
	readonly clock: HostClock;
	/** No message passes between this host and the others. */
	isLinkCut = false;
	/** This host neither sees the claims in the store nor makes any. */
	isStoreCut = false;
	/** No caller uses this host. */
	isIdle = false;
	/** The answers of this host to others are lost, after it has carried out their orders. */
	losesAnswers = false;
	/** A server whose registration this host does not see. */
	readonly unseen = new Set<string>();
	readonly paths = new Map<string, Path>();
	readonly group: groups.Group;
	readonly claims: claims.Claims;
	readonly failover: failover.Failover;
	readonly reporter: reporters.Reporter;
	readonly recovery: recoveries.Recovery;
	/** Revision of the store at the last read of the claims. */
	#readRevision: number | undefined;
	readonly #fleet: Fleet;
	readonly #writer: writes.Writer;
	readonly #recorder: recorders.Recorder;
	readonly #decisions: decisions.Decisions;

	constructor(fleet: Fleet, name: string, seed: number) {
		const {store} = fleet;
		const time = new HostClock(fleet.time);
		this.name = name;
		this.clock = time;
		this.#fleet = fleet;
		this.#decisions = new Journal(entry => {
			fleet.journal.push(`${Math.round(time.now())} ${name} ${entry}`);
		});
		this.group = new groups.Group({
			name: service, clock: time, decisions: this.#decisions, connect: ({id}) => this.pathTo(id), isIsolated: () => this.isStoreCut && this.isLinkCut,
		});
		for (const server of fleet.cluster.servers) {
			this.pathTo(server.name);
		}

		this.claims = new claims.Claims({
			host: name,
			store,
			clock: time,
			random: new random.Seeded(seed),
			decisions: this.#decisions,
			onClaim: (_service, token) => {
				this.group.confirmations.recordClaim(token);
			},
			onRelease: (_service, token) => {
				this.group.confirmations.recordRelease(token);
			},
			revision: () => this.#readRevision,
		});
		const claim = this.claims.claim.bind(this.claims);
		this.claims.claim = async claimed => {
			fleet.reach('claim', this);
			return this.isStoreCut ? errors.fail('store', 'store', service, 'no response') : claim(claimed);
		};

		this.reporter = new reporters.Reporter({
			clock: time, decisions: this.#decisions, hasSeenClaim: (claimed, token) => this.claims.hasSeen(claimed, token), findGroup: () => this.group,
		});
		const others = new FleetHosts(fleet, () => this);
		this.recovery = new recoveries.Recovery({
			group: this.group, claims: this.claims, hosts: others, clock: time, decisions: this.#decisions,
		});
		this.failover = new failover.Failover({
			group: this.group,
			host: name,
			clock: time,
			random: new random.Seeded(seed + 100),
			authority: fleet.authority,
			claims: this.claims,
			hosts: others,
			decisions: this.#decisions,
		});
		this.#recorder = new recorders.Recorder({
			store, clock: time, random: new random.Seeded(seed + 200), decisions: this.#decisions, revision: () => 1,
		});
		this.#writer = new writes.Writer({clock: time, place: 'west', decisions: this.#decisions});
	}

	/** How this host reaches a server. */
	pathTo(id: string): Path {
		const path = this.paths.get(id) ?? new Path(this.#fleet.cluster.get(id), this, command => {
			this.#fleet.reach(command.kind === 'step-down' || command.kind === 'pause' ? 'fence' : undefined, this);
		});
		this.paths.set(id, path);
		return path;
	}

	/** Ends the process: it does nothing any more. */
	kill(): void {
		this.clock.end();
	}

	/** Waits while the process is stopped. */
	async awaitRunning(): Promise<void> {
		await this.clock.awaitRunning();
	}

	run(signal: AbortSignal): void {
		this.group.resize({softLimit: 2, hardLimit: 2});
		for (const {name} of this.#fleet.cluster.servers) {
			this.group.register(this.#fleet.cluster.registration(name));
		}

		if (this.#fleet.followsServers) {
			void this.#recorder.run(this.group, signal);
		} else {
			this.group.adopt(undefined);
		}

		void this.group.run(signal);
		void this.recovery.run(signal);
		void this.failover.run(signal);
		void this.#followStore(signal);
	}

	/** Executes a write of a caller. Returns whether it was confirmed. */
	async write(id: string): Promise<boolean> {
		const {clock: time} = this;
		await time.awaitRunning();
		const reply = await this.#writer.execute({
			id,
			customer: undefined,
			route: {
				name: 'r', database: 'd', kind: 'primary', maximumAgeMs: 0, statementTimeoutMs: this.#fleet.writeTimeoutMs, targetMs: 300, priority: 1, service,
			},
			group: this.group,
			state: new states.State(),
			sessionPosition: null,
			arrivedAt: time.mark(),
			deadline: time.now() + this.#fleet.writeTimeoutMs,
			spentMs: 0,
			work: {
				id, mode: 'write', text: `WRITE ${id}`, prepared: undefined, parameters: '',
			},
		});
		return reply.refusal === null;
	}

	#followServers(): void {
		const {registrations} = this.#fleet.cluster;
		for (const registration of registrations) {
			this.group.register(registration);
		}

		for (const {id} of this.group.members) {
			if (!registrations.some(registration => registration.id === id)) {
				this.group.markMissing(id);
			}
		}
	}

	/** Keeps the group active and follows the claims, as traffic and the store's followers do. */
	async #followStore(signal: AbortSignal): Promise<void> {
		const {store} = this.#fleet;
		while (!signal.aborted) {
			if (!this.isIdle) {
				this.group.touch();
			}

			const {revision} = store;
			const found = await store.read('claims', service);
			await this.clock.sleep(storeDelayMs, signal);
			if (!this.isStoreCut && Either.isRight(found)) {
				this.#readRevision = revision;
				this.claims.update(service, found.right);
				this.claims.recordRead();
			}

			if (!this.isStoreCut && this.#fleet.followsServers) {
				this.#followServers();
			}
		}
	}
}

/** A fleet of three hosts. Server `a` is the first primary. */
export class Fleet {
	readonly time = new clock.Manual();
	readonly cluster = new cluster.Cluster(this.time);
	readonly store = new cluster.Objects();
	readonly authority = new cluster.Authority(this.cluster);
	hosts: readonly Host[];
	/** Whether hosts follow the list of servers and the in-sync set in the store; otherwise a test tells them what they see. */
	followsServers = false;
	/** Time in which a caller waits for the reply to a write. */
	writeTimeoutMs = 800;
	/** Ids of the writes that were confirmed to their callers. */
	readonly confirmed = new Set<string>();
	/** Writes that were confirmed though a primary lacks them. */
	readonly violations: string[] = [];
	/** What the hosts have decided, for the message of a failed test. */
	readonly journal: string[] = [];
	/** Actions that a test has set for the first time that a failover reaches a step. */
	readonly actions = new Map<Step, (host: Host) => void>();
	readonly #stopped = new AbortController();
	#lastId = 0;
	#restarts = 0;
	#leaderlessSince: number | undefined;
	#maxLeaderlessMs = 0;

	constructor(seed = 1) {
		this.cluster.requiresReplica = true;
		this.hosts = ['one', 'two', 'three'].map((name, index) => new Host(this, name, seed + index));
		const promote = this.cluster.promote.bind(this.cluster);
		this.cluster.promote = name => {
			promote(name);
			this.journal.push(`${Math.round(this.time.now())} promotion of ${name}`);
			this.#check(`promotion of ${name}`);
		};

		const order = this.authority.promote.bind(this.authority);
		this.authority.promote = async (request: authority.Request) => {
			const holder = this.hosts.find(({name}) => name === request.holder)!;
			this.reach('choice', holder);
			const outcome = await order(request);
			this.reach('order', holder);
			return outcome;
		};
	}

	get primary(): cluster.Server | undefined {
		return this.cluster.servers.find(({role}) => role === 'primary');
	}

	/** Longest time for which no server led. */
	get maxLeaderlessMs(): number {
		return this.#maxLeaderlessMs;
	}

	/** Starts all hosts and waits until failovers are possible. */
	async start(): Promise<void> {
		for (const host of this.hosts) {
			host.run(this.#stopped.signal);
		}

		void this.#watchPrimary();
		await this.time.advance(settleMs);
	}

	/** Ends the process of a host, and returns the one that takes its place, which doesn't run yet. */
	replaceHost(host: Host, name = host.name): Host {
		this.#restarts++;
		const started = new Host(this, name, 1000 + (10 * this.#restarts));
		host.kill();
		this.hosts = this.hosts.map(other => other === host ? started : other);
		return started;
	}

	/** Starts the process of a host. */
	startHost(host: Host): void {
		host.run(this.#stopped.signal);
	}

	async stop(): Promise<void> {
		this.#stopped.abort();
		await this.time.advance(this.writeTimeoutMs);
	}

	/** Starts a write at a host. */
	write(host: Host): void {
		this.#lastId++;
		void this.#write(host, `w${this.#lastId}`);
	}

	/** Runs the action that waits for a step, which a host has reached. */
	reach(step: Step | undefined, host: Host): void {
		const action = step && this.actions.get(step);
		if (action) {
			this.actions.delete(step);
			action(host);
		}
	}

	/** Lets a server go dark and disappear from all lists. */
	async remove(name: string): Promise<void> {
		this.cluster.get(name).isUnresponsive = true;
		this.markMissing(name);
		await this.time.advance(settleMs);
	}

	/** Ends a server's registration. */
	markMissing(name: string): void {
		for (const {group} of this.hosts) {
			group.markMissing(name);
		}
	}

	/** Announces that a server leaves. */
	announceLeaving(name: string): void {
		for (const {group} of this.hosts) {
			group.register(this.cluster.registration(name, {state: 'leaving'}));
		}
	}

	/** Writes at hosts in turn for some time. */
	async writeFor(forMs: number, hosts: readonly Host[] = this.hosts): Promise<void> {
		for (let waitedMs = 0; waitedMs < forMs; waitedMs += writeIntervalMs) {
			this.write(hosts[(waitedMs / writeIntervalMs) % hosts.length]);
			await this.time.advance(writeIntervalMs);
		}
	}

	/** Advances the time until a condition holds, and fails with the journal if it doesn't. */
	async until(isDone: () => boolean): Promise<void> {
		for (let waitedMs = 0; !isDone(); waitedMs += writeIntervalMs) {
			assert.ok(waitedMs < maxOrderOfEventsMs, `the order of events did not occur\n${this.journal.slice(-60).join('\n')}`);
			await this.time.advance(writeIntervalMs);
		}
	}

	/** Lets a server answer nobody for some time. */
	async silence(server: cluster.Server): Promise<void> {
		server.isUnresponsive = true;
		await this.time.sleep(silenceMs);
		server.isUnresponsive = false;
	}

	/** Brings a dark server back, which the hosts see after a delay, or never. */
	restore(name: string, seenAfterMs: number | undefined): void {
		this.cluster.get(name).isUnresponsive = false;
		if (seenAfterMs !== undefined) {
			void this.#register(name, seenAfterMs);
		}
	}

	async #register(name: string, afterMs: number): Promise<void> {
		await this.time.sleep(afterMs);
		for (const {group, unseen} of this.hosts) {
			if (!unseen.has(name)) {
				group.register(this.cluster.registration(name, {role: this.cluster.get(name).role}));
			}
		}
	}

	async #write(host: Host, id: string): Promise<void> {
		if (await host.write(id)) {
			this.confirmed.add(id);
			this.#check(`confirmation of ${id} by ${host.name}`);
		}
	}

	#check(event: string): void {
		const log = new Set(this.primary?.log);
		const lost = [...this.confirmed].filter(id => this.primary && !log.has(id));
		if (lost.length > 0 && this.violations.length < maxListed) {
			this.violations.push(`${event}: ${this.primary?.name ?? ''} lacks ${lost.length} commits, ${lost.slice(0, maxListed).join(', ')}`);
		}
	}

	async #watchPrimary(): Promise<void> {
		while (!this.#stopped.signal.aborted) {
			this.#leaderlessSince = this.primary ? undefined : this.#leaderlessSince ?? this.time.now();
			this.#maxLeaderlessMs = Math.max(this.#maxLeaderlessMs, this.time.now() - (this.#leaderlessSince ?? this.time.now()));
			await this.time.sleep(primaryPollMs, this.#stopped.signal);
		}
	}
}
