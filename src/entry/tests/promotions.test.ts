/**
Model check of promotions that follow each other: several claimants, orders that the platform carries out late, servers that
restart, lose their log, are replaced, roll back and answer as busy, hosts that stop, restart or are cut off, and a store that
is restored from a copy.
*/
import * as assert from 'node:assert/strict';
import process from 'node:process';
import * as test from 'node:test';
import * as fc from 'fast-check';
import type * as cluster from './fake-cluster.js';
import * as fleets from './fake-fleet.js';

/** Time in which writes have to be confirmed again after the last fault. */
const recoveryMs = 20_000;
const writeIntervalMs = 50;
const steps: readonly fleets.Step[] = ['claim', 'suspension', 'fence', 'choice', 'order'];

/** The faults of a run that its events have begun. */
type Model = {hasLostLog: boolean};

/** A server by what it is when the event happens. */
type Target = 'primary' | 'first replica' | 'second replica';

function find(fleet: fleets.Fleet, target: Target): cluster.Server {
	const {primary, cluster: {servers}} = fleet;
	const replicas = servers.filter(server => server !== primary);
	switch (target) {
		case 'primary': {
			return primary ?? servers[0];
		}

		case 'first replica': {
			return replicas[0];
		}

		case 'second replica': {
			return replicas[1];
		}
	}
}

async function write(fleet: fleets.Fleet, forMs: number): Promise<void> {
	for (let waitedMs = 0; waitedMs < forMs; waitedMs += writeIntervalMs) {
		fleet.write(fleet.hosts[(waitedMs / writeIntervalMs) % fleet.hosts.length]);
		await fleet.time.advance(writeIntervalMs);
	}
}

/** One random event, at once or at a step of the next failover, followed by some time. */
abstract class Event {
	readonly #waitMs: number;
	readonly #step: fleets.Step | undefined;

	constructor({waitMs, step}: Schedule) {
		this.#waitMs = waitMs;
		this.#step = step;
	}

	async run(model: Model, fleet: fleets.Fleet): Promise<void> {
		const happen = (host: fleets.Host): void => {
			fleet.journal.push(`${Math.round(fleet.time.now())} event: ${this.describe()}`);
			this.happen(fleet, host, model);
		};

		if (this.#step) {
			fleet.actions.set(this.#step, happen);
		} else {
			happen(fleet.hosts[0]);
		}

		await write(fleet, this.#waitMs);
	}

	toString(): string {
		return `${this.describe()}${this.#step ? ` at the ${this.#step}` : ''}, then ${this.#waitMs} ms`;
	}

	protected abstract describe(): string;
	/** Begins the fault; `host` is the one that has reached the step. */
	protected abstract happen(fleet: fleets.Fleet, host: fleets.Host, model: Model): void;
}

type Schedule = {readonly waitMs: number; readonly step: fleets.Step | undefined};

/** The next orders meet other fates than to be carried out in time. */
class Orders extends Event {
	readonly #fates: readonly cluster.Fate[];

	constructor(schedule: Schedule, fates: readonly cluster.Fate[]) {
		super(schedule);
		this.#fates = fates;
	}

	protected override describe(): string {
		return `next orders: ${this.#fates.map(({kind, delayMs}) => `${kind} ${delayMs} ms`).join(', ')}`;
	}

	protected override happen(fleet: fleets.Fleet): void {
		fleet.authority.fates.push(...this.#fates);
	}
}

/** What happens to one server. */
type ServerFault = 'restart' | 'loss of its log' | 'replacement' | 'saturation' | 'silence' | 'lag' | 'late replies';

class ServerTrouble extends Event {
	readonly #target: Target;
	readonly #fault: ServerFault;
	readonly #forMs: number;

	constructor(schedule: Schedule, target: Target, fault: ServerFault, forMs: number) {
		super(schedule);
		this.#target = target;
		this.#fault = fault;
		this.#forMs = forMs;
	}

	protected override describe(): string {
		return `${this.#fault} of the ${this.#target} for ${this.#forMs} ms`;
	}

	protected override happen(fleet: fleets.Fleet, _host: fleets.Host, model: Model): void {
		const server = find(fleet, this.#target);
		fleet.journal.push(`${Math.round(fleet.time.now())} event at ${server.name}`);
		void this.#play(fleet, server, model);
	}

	async #play(fleet: fleets.Fleet, server: cluster.Server, model: Model): Promise<void> {
		const {time} = fleet;
		switch (this.#fault) {
			case 'restart':
			case 'loss of its log': {
				if (!server.isRunning) {
					return;
				}

				server.stop();
				await time.sleep(this.#forMs);
				// The last copy of a commit is never lost, and one log at most. No host could prevent a loss by an order that was
				// sent before, since orders name only the id.
				const losesLog = this.#fault === 'loss of its log' && !model.hasLostLog && isCopied(fleet, server) && !fleet.authority.hasPending(server.name);
				model.hasLostLog ||= losesLog;
				fleet.journal.push(`${Math.round(time.now())} ${server.name} starts ${losesLog ? 'without' : 'with'} its log`);
				server.start(!losesLog);
				return;
			}

			case 'replacement': {
				server.state = 'leaving';
				await time.sleep(this.#forMs);
				if (server.isRunning) {
					fleet.cluster.replace(server);
				}

				return;
			}

			case 'saturation': {
				server.isSaturated = true;
				await time.sleep(this.#forMs);
				server.isSaturated = false;
				return;
			}

			case 'silence': {
				server.isUnresponsive = true;
				await time.sleep(this.#forMs);
				server.isUnresponsive = !server.isRunning;
				return;
			}

			case 'lag': {
				server.isReplicationCut = true;
				await time.sleep(this.#forMs);
				server.isReplicationCut = false;
				return;
			}

			case 'late replies': {
				server.commitReplyDelayMs = this.#forMs;
				await time.sleep(2 * this.#forMs);
				server.commitReplyDelayMs = 0;
			}
		}
	}
}

/** Whether each commit of a server's log is also in the log of another one. */
function isCopied(fleet: fleets.Fleet, server: cluster.Server): boolean {
	const copies = new Set(fleet.cluster.servers.filter(other => other !== server && other.isRunning).flatMap(({log}) => log));
	return server.log.every(id => copies.has(id));
}

/** Why the primary is to be replaced. */
type Cause = 'leaves' | 'answers no host' | 'is silent' | 'is down';

/** Starts a failover, for which other events have prepared faults. */
class Failover extends Event {
	readonly #cause: Cause;
	readonly #forMs: number;

	constructor(schedule: Schedule, cause: Cause, forMs: number) {
		super(schedule);
		this.#cause = cause;
		this.#forMs = forMs;
	}

	protected override describe(): string {
		return `the primary ${this.#cause} for ${this.#forMs} ms`;
	}

	protected override happen(fleet: fleets.Fleet): void {
		void this.#play(fleet, find(fleet, 'primary'));
	}

	async #play(fleet: fleets.Fleet, server: cluster.Server): Promise<void> {
		const {time} = fleet;
		switch (this.#cause) {
			case 'leaves': {
				server.state = 'leaving';
				await time.sleep(this.#forMs);
				if (server.isRunning) {
					fleet.cluster.replace(server);
				}

				return;
			}

			case 'answers no host': {
				for (const host of fleet.hosts) {
					void cutPath(fleet, host, server, this.#forMs + (host === fleet.hosts[0] ? 0 : maxSkewMs));
				}

				return;
			}

			case 'is silent': {
				server.isUnresponsive = true;
				await time.sleep(this.#forMs);
				server.isUnresponsive = !server.isRunning;
				return;
			}

			case 'is down': {
				if (server.isRunning) {
					server.stop();
					await time.sleep(this.#forMs);
					server.start(true);
				}
			}
		}
	}
}

async function cutPath(fleet: fleets.Fleet, host: fleets.Host, server: cluster.Server, forMs: number): Promise<void> {
	const path = host.pathTo(server.name);
	path.isCut = true;
	await fleet.time.sleep(forMs);
	path.isCut = false;
}

/** What happens to one host. */
type HostFault = 'stop' | 'restart' | 'path to the primary' | 'path to the first replica' | 'path to the second replica' | 'links' | 'store' | 'answers';

class HostTrouble extends Event {
	readonly #host: number | undefined;
	readonly #fault: HostFault;
	readonly #forMs: number;

	constructor(schedule: Schedule, host: number | undefined, fault: HostFault, forMs: number) {
		super(schedule);
		this.#host = host;
		this.#fault = fault;
		this.#forMs = forMs;
	}

	protected override describe(): string {
		return `${this.#fault} of host ${this.#host ?? 'at the step'} for ${this.#forMs} ms`;
	}

	protected override happen(fleet: fleets.Fleet, current: fleets.Host): void {
		void this.#play(fleet, this.#host === undefined ? current : fleet.hosts[this.#host]);
	}

	async #play(fleet: fleets.Fleet, host: fleets.Host): Promise<void> {
		const {time} = fleet;
		switch (this.#fault) {
			case 'stop': {
				host.clock.stop(this.#forMs);
				return;
			}

			case 'restart': {
				return restart(fleet, host, this.#forMs);
			}

			case 'path to the primary':
			case 'path to the first replica':
			case 'path to the second replica': {
				return cutPath(fleet, host, find(fleet, this.#fault.slice('path to the '.length) as Target), this.#forMs);
			}

			case 'links': {
				host.isLinkCut = true;
				await time.sleep(this.#forMs);
				host.isLinkCut = false;
				return;
			}

			case 'store': {
				host.isStoreCut = true;
				await time.sleep(this.#forMs);
				host.isStoreCut = false;
				return;
			}

			case 'answers': {
				host.losesAnswers = true;
				await time.sleep(this.#forMs);
				host.losesAnswers = false;
			}
		}
	}
}

/** Ends the process of a host, and starts another one in its place. */
async function restart(fleet: fleets.Fleet, host: fleets.Host, afterMs: number): Promise<void> {
	host.kill();
	await fleet.time.sleep(afterMs);
	if (fleet.hosts.includes(host)) {
		fleet.journal.push(`${Math.round(fleet.time.now())} ${host.name} starts`);
		fleet.startHost(fleet.replaceHost(host));
	}
}

/** The store returns to an earlier copy. */
class Restoration extends Event {
	readonly #afterMs: number;

	constructor(at: Schedule, afterMs: number) {
		super(at);
		this.#afterMs = afterMs;
	}

	protected override describe(): string {
		return `the store is restored from a copy of ${this.#afterMs} ms before`;
	}

	protected override happen(fleet: fleets.Fleet): void {
		void this.#play(fleet);
	}

	async #play({store, time, journal}: fleets.Fleet): Promise<void> {
		store.copy();
		await time.sleep(this.#afterMs);
		store.restore();
		journal.push(`${Math.round(time.now())} the store is restored`);
	}
}

/** Which hosts restart. */
type Restarted = 'claimant' | 'other' | 'all';

type Restart = {
	readonly restarted: Restarted;
	/** Time from the order to the end of the processes, to the return of the primary, and to a restart of the paused replica. */
	readonly endAfterMs: number;
	readonly returnAfterMs: number;
	readonly replicaAfterMs: number;
	readonly startAfterMs: number;
	readonly orderDelayMs: number;
	readonly losesClaim: boolean;
};

/**
An order is carried out late and hosts restart meanwhile. The primary answers no host until then, and acknowledges commits
through a replica that has restarted without its pause, or restarts; the target of the order lags.
*/
class LateOrder extends Event {
	readonly #restart: Restart;

	constructor(at: Schedule, restarts: Restart) {
		super(at);
		this.#restart = restarts;
	}

	protected override describe(): string {
		return `a late order beside restarts ${JSON.stringify(this.#restart)}`;
	}

	protected override happen(fleet: fleets.Fleet): void {
		const {endAfterMs, returnAfterMs, orderDelayMs, losesClaim} = this.#restart;
		const primary = find(fleet, 'primary');
		fleet.authority.fates.push({kind: 'late', delayMs: orderDelayMs});
		if (losesClaim) {
			fleet.store.copy();
		}

		fleet.actions.set('order', claimant => {
			void this.#restartHosts(fleet, claimant);
			void this.#restartReplica(fleet, primary);
		});
		for (const host of fleet.hosts) {
			void cutPath(fleet, host, primary, silenceMs + endAfterMs + returnAfterMs);
		}
	}

	async #restartHosts(fleet: fleets.Fleet, claimant: fleets.Host): Promise<void> {
		const {restarted, endAfterMs, startAfterMs, losesClaim} = this.#restart;
		await fleet.time.sleep(endAfterMs);
		if (losesClaim) {
			fleet.store.restore();
		}

		const others = fleet.hosts.filter(host => host !== claimant);
		const ended = {claimant: [claimant], other: others.slice(0, 1), all: fleet.hosts}[restarted];
		fleet.journal.push(`${Math.round(fleet.time.now())} restart of ${ended.map(({name}) => name).join(', ')}`);
		for (const host of ended) {
			void restart(fleet, host, startAfterMs);
		}
	}

	async #restartReplica(fleet: fleets.Fleet, primary: cluster.Server): Promise<void> {
		const {replicaAfterMs, orderDelayMs} = this.#restart;
		const {server} = fleet.authority.requests.at(-1)!;
		const target = fleet.cluster.servers.find(({name}) => name === server);
		const paused = fleet.cluster.servers.find(other => other !== target && other !== primary);
		if (target && paused) {
			target.isReplicationCut = true;
			await fleet.time.sleep(replicaAfterMs);
			paused.heldTerm = 0;
			await fleet.time.sleep(orderDelayMs);
			target.isReplicationCut = false;
		}
	}
}

const schedule = fc.record<Schedule>({
	waitMs: fc.oneof(fc.integer({min: 0, max: 10}), fc.integer({min: 10, max: 80})).map(count => count * writeIntervalMs),
	step: fc.option(fc.constantFrom(...steps), {nil: undefined}),
});
const targets = fc.constantFrom<Target>('primary', 'primary', 'first replica', 'second replica');
const fates = fc.record<cluster.Fate>({
	kind: fc.constantFrom<cluster.Fate['kind']>('late effect', 'late', 'late', 'unavailable'), delayMs: fc.constantFrom(300, 900, 2000, 4500, 7000),
});
const maxFaultMs = 8000;
/** Difference between the times at which the first host and the others reach a server again. */
const maxSkewMs = 1000;
/** Time for which the primary answers no host until a promotion is ordered. */
const silenceMs = 1200;
const durations = fc.constantFrom(300, 700, 1500, 3000, 5000, maxFaultMs);
const causes = fc.constantFrom<Cause>('leaves', 'answers no host', 'is silent', 'is down');
const hosts = fc.option(fc.integer({min: 0, max: 2}), {nil: undefined});
const hostFaults = fc.constantFrom<HostFault>('stop', 'restart', 'restart', 'path to the primary', 'path to the primary', 'path to the first replica', 'path to the second replica', 'links', 'store', 'answers');
const serverFaults = fc.constantFrom<ServerFault>('restart', 'loss of its log', 'replacement', 'replacement', 'saturation', 'silence', 'silence', 'lag', 'lag', 'lag', 'late replies');
const restarts = fc.record<Restart>({
	restarted: fc.constantFrom<Restarted>('claimant', 'other', 'all'),
	endAfterMs: fc.constantFrom(0, 20, 300),
	startAfterMs: fc.constantFrom(100, 300, 900),
	returnAfterMs: fc.constantFrom(100, 500, 1200),
	replicaAfterMs: fc.constantFrom(50, 400, 900),
	orderDelayMs: fc.constantFrom(1500, 2500, 3500, 6000),
	losesClaim: fc.boolean(),
});
const event: fc.Arbitrary<Event> = fc.oneof(
	fc.tuple(schedule, causes, durations).map(([{waitMs}, cause, forMs]) => new Failover({waitMs, step: undefined}, cause, forMs)),
	fc.tuple(schedule, fc.array(fates, {minLength: 1, maxLength: 4})).map(([at, list]) => new Orders(at, list)),
	fc.tuple(schedule, targets, serverFaults, durations).map(([at, target, fault, forMs]) => new ServerTrouble(at, target, fault, forMs)),
	fc.tuple(schedule, hosts, hostFaults, durations).map(([at, host, fault, forMs]) => new HostTrouble(at, host, fault, forMs)),
	fc.tuple(schedule, durations).map(([at, afterMs]) => new Restoration(at, afterMs)),
	fc.tuple(schedule, restarts).map(([{waitMs}, list]) => new LateOrder({waitMs, step: undefined}, list)),
);
const events = fc.array(event, {minLength: 6, maxLength: 16, size: 'max'});

/** Plays the events; after them all faults end. */
async function play(list: readonly Event[], hostSeed: number): Promise<fleets.Fleet> {
	const fleet = await start(hostSeed);
	const model: Model = {hasLostLog: false};
	for (const next of list) {
		await next.run(model, fleet);
	}

	fleet.actions.clear();
	fleet.authority.fates.length = 0;
	await write(fleet, maxFaultMs);
	fleet.journal.push(`${Math.round(fleet.time.now())} all faults have ended`);
	return fleet;
}

/** Checks that writes are confirmed within the bound from now on. */
async function checkRecovery(fleet: fleets.Fleet): Promise<void> {
	const before = fleet.confirmed.size;
	for (let waitedMs = 0; waitedMs < recoveryMs && fleet.confirmed.size === before; waitedMs += 1000) {
		await write(fleet, 1000);
	}

	await fleet.stop();
	assert.ok(fleet.confirmed.size > before, `no write is confirmed for ${recoveryMs} ms\n${fleet.journal.join('\n')}`);
}

async function start(hostSeed = 1): Promise<fleets.Fleet> {
	const fleet = new fleets.Fleet(hostSeed);
	fleet.followsServers = true;
	fleet.writeTimeoutMs = 1500;
	await fleet.start();
	await write(fleet, 1000);
	return fleet;
}

// Guards against a server that counts as incomplete for ever: it has registered while no primary is known, so its log, that of
// the old primary, is never compared with one.
test.test('a service gets a primary again after its primary has left, with a new server at its address', async () => {
	const fleet = await start();
	// Servers that start together count as complete for 10 s.
	await write(fleet, 10_000);
	const primary = find(fleet, 'primary');
	// It announces that it leaves shortly before, so no replica has taken over yet.
	primary.state = 'leaving';
	await fleet.time.advance(100);
	fleet.cluster.replace(primary);
	await checkRecovery(fleet);
});

/** PROMOTIONS_SEED and PROMOTIONS_RUNS play other and more random runs by hand. */
const seed = Number(process.env.PROMOTIONS_SEED ?? 35);
const runCount = Number(process.env.PROMOTIONS_RUNS ?? 15);

const parameters = {
	seed, numRuns: runCount, endOnFailure: true, includeErrorInReport: true,
};

// Guards against any order of such events in which a commit is confirmed that a later primary lacks.
test.test('no confirmed commit is lost in random orders of promotions, late orders and faults', async () => {
	await fc.assert(fc.asyncProperty(events, fc.nat(1000), async (list, hostSeed) => {
		const fleet = await play(list, hostSeed);
		await fleet.stop();
		assert.deepEqual(fleet.violations, [], fleet.journal.join('\n'));
	}), parameters);
});

// Guards against a state after faults from which no server is ever promoted although all servers respond.
test.test('writes are confirmed again after random orders of promotions, late orders and faults', async () => {
	await fc.assert(fc.asyncProperty(events, fc.nat(1000), async (list, hostSeed) => {
		const fleet = await play(list, hostSeed);
		await checkRecovery(fleet);
	}), parameters);
});
