/**
A group and its tasks on a manual clock, for tests of sessions, reads, writes and failover.
*/
import type * as types from '../../generated/types.js';
import * as clock from '../../core/clock.js';
import * as random from '../../core/random.js';
import * as claims from '../claims.js';
import * as decisions from '../decisions.js';
import * as failover from '../failover.js';
import * as groups from '../group.js';
import * as hosts from '../hosts.js';
import type * as jobs from '../job.js';
import * as states from '../state.js';
import * as cluster from './fake-cluster.js';

/** A host that knows no other one. */
export class NoHosts extends hosts.Hosts {
	override prepare(): void {
		// There are no links to open.
	}

	override async ask(): Promise<hosts.Answers> {
		return {reports: [], isComplete: true, asked: 0};
	}
}

/** A running group with its store, authority and backend servers in memory. */
export class Fixture {
	readonly time: clock.Manual;
	readonly cluster: cluster.Cluster;
	readonly store = new cluster.Objects();
	readonly authority: cluster.Authority;
	readonly decisions = new decisions.Silent();
	readonly stopped = new AbortController();
	readonly group: groups.Group;
	readonly claims: claims.Claims;
	readonly failover: failover.Failover;
	readonly context: jobs.Context;
	/** Whether the group has work all the time. */
	isActive = true;

	/** Several services of one host share its clock. */
	constructor(name = 'ledgers', time = new clock.Manual()) {
		const shared = {clock: time, decisions: this.decisions};
		this.time = time;
		this.cluster = new cluster.Cluster(time);
		this.authority = new cluster.Authority(this.cluster);
		this.context = {...shared, place: 'west'};
		this.group = new groups.Group({
			...shared, name, connect: ({id}) => this.cluster.get(id), isIsolated: () => false, random: new random.Seeded(3),
		});
		this.claims = new claims.Claims({
			...shared, host: 'entry-1', store: this.store, random: new random.Seeded(1),
		});
		this.failover = new failover.Failover({
			...shared, group: this.group, host: 'entry-1', random: new random.Seeded(2), authority: this.authority, claims: this.claims, hosts: new NoHosts(),
		});
	}

	/** Registers the servers and runs the group's task until the leader is known. */
	async start(servers: readonly string[] = ['a', 'b', 'c'], quota = 4): Promise<void> {
		this.group.resize({softLimit: quota, hardLimit: quota});
		for (const name of servers) {
			this.group.register(this.cluster.registration(name));
		}

		this.group.adopt(undefined);
		void this.group.run(this.stopped.signal);
		void this.#keepActive();
		await this.time.advance(200);
	}

	/** Starts the failover task and waits until the list of servers counts as complete. */
	async startFailover(): Promise<void> {
		void this.failover.run(this.stopped.signal);
		await this.time.advance(4000);
	}

	route(change: Partial<types.Route> = {}): types.Route {
		return {
			name: 'r', database: 'd', kind: 'session', maximumAgeMs: 1500, statementTimeoutMs: 800, targetMs: 500, priority: 1, service: this.group.name, ...change,
		};
	}

	job(change: Partial<jobs.GroupJob> = {}): jobs.GroupJob {
		return {
			id: 'q1', route: this.route(), customer: undefined, group: this.group, state: new states.State(), sessionPosition: null, arrivedAt: this.time.mark(), deadline: this.time.now() + 800, spentMs: 0, ...change,
		};
	}

	/** Creates a job that executes one statement. */
	statementJob(text: string, change: Partial<jobs.GroupJob> = {}): jobs.StatementJob {
		const job = this.job(change);
		return {
			...job,
			work: {
				id: job.id, mode: text.startsWith('WRITE') ? 'write' : 'read', text, prepared: undefined, parameters: '',
			},
		};
	}

	/** Advances the clock by `ms` and returns the outcome of a task. */
	async runFor<T>(ms: number, task: Promise<T>): Promise<T> {
		await this.time.advance(ms);
		return task;
	}

	async stop(): Promise<void> {
		this.stopped.abort();
		await this.time.advance(1000);
	}

	/** Keeps the group active, as traffic would. */
	async #keepActive(): Promise<void> {
		while (!this.stopped.signal.aborted) {
			if (this.isActive) {
				this.group.touch();
			}

			await this.time.sleep(1000, this.stopped.signal);
		}
	}
}
