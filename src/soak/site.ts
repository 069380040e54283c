/**
A deployment for the soak test: entry hosts as separate processes, with stand-ins for the platform and the backend
servers. Entry hosts reach servers and each other through relays, which inject network faults.
*/
import * as childProcess from 'node:child_process';
import * as fs from 'node:fs/promises';
import * as os from 'node:os';
import * as path from 'node:path';
import process from 'node:process';
import * as url from 'node:url';
import * as clock from '../core/clock.js';
import type * as random from '../core/random.js';
import * as ports from '../standin/ports.js';
import * as relay from '../standin/relay.js';
import * as callers from './caller.js';
import * as checkers from './checker.js';
import * as configurations from './configurations.js';
import * as contacts from './contact.js';
import * as soakCustomers from './customers.js';
import * as failovers from './failovers.js';
import type * as faults from './fault.js';
import type * as loads from './load.js';
import * as objects from './object.js';
import * as platforms from './platform.js';
import * as probes from './probe.js';
import * as replicated from './replicated.js';
import * as servers from './server.js';
import * as routes from './routes.js';
import * as requests from './unanswered.js';

/** Numbers of entry hosts, groups and callers, the pace of the callers, and the connection limit of each backend server. */
export type Size = {
	readonly hosts: number;
	readonly groups: number;
	readonly connections: number;
	readonly callers: number;
	/** Whether some callers send their requests without long pauses. */
	readonly hasQuickCallers: boolean;
	/** Number of statements that each server executes at the same time. */
	readonly slots: number;
	/** Longest execution of a statement. */
	readonly maxWorkMs: number;
	/** Number of customers; 0 for a deployment without customers. */
	readonly customers: number;
	/** Number of routes that configurations move between groups; 0 for none. */
	readonly movingRoutes: number;
};

/** An entry host: its settings file, its addresses and its current process. */
export type Host = {
	readonly name: string;
	readonly settingsFile: string;
	readonly callerAddress: string;
	/** Relay in front of the host's peer address. */
	readonly peerRelay: relay.Relay;
	/** Relay in front of the host's address of the store. */
	readonly storeRelay: relay.Relay;
	child: childProcess.ChildProcess | undefined;
	isPaused: boolean;
};

/** A backend server, its listener and the relay in front of it. */
export type Backend = {readonly group: replicated.Group; readonly server: replicated.Server; readonly listener: servers.Listener; readonly relay: relay.Relay};

const places = ['east-a', 'west-a', 'north-a'] as const;
/** Program of the hosts: each module in a file of its own, or the bundle that is deployed. */
export type Daemon = 'compiled' | 'bundled';

export type Options = {
	readonly daemon: Daemon;
	/** Load beside the hosts; `undefined` if the hosts may use the whole machine. */
	readonly load: loads.Load | undefined;
};

const root = path.join(path.dirname(url.fileURLToPath(import.meta.url)), '..');
const daemonFiles: Readonly<Record<Daemon, string>> = {
	compiled: path.join(root, 'cli', 'daemon.js'),
	bundled: path.join(root, '..', 'target', 'cli', 'daemon.js'),
};
const graceS = 3;
export const serversPerGroup = 3;
/** Number of fixed routes to each group. */
const kindCount = 3;
const maxLogLines = 10_000;
const maxPauseMs = 120;
const maxQuickPauseMs = 10;
const loopCheckIntervalMs = 10;
/** Lateness of a timer of this process from which it counts as stalled. */
const minStallMs = 10;
const minTimeoutMs = 1500;
const rolePollMs = 20;
const failoverCheckIntervalMs = 50;

/** A running deployment. */
export class Site {
	readonly time = new clock.System();
	readonly checker = new checkers.Checker(this.time);
	readonly contact = new contacts.Contact(this.time);
	/** Disturbances other than planned work. */
	readonly unplanned = new contacts.Contact(this.time);
	readonly configurations = new configurations.Configurations(this.time, this.contact);
	readonly unanswered = new requests.Unanswered({clock: this.time, unplanned: this.unplanned, graceMs: graceS * 1000});
	readonly failovers: failovers.Failovers;
	readonly customers: soakCustomers.Customers | undefined;
	readonly groups: readonly replicated.Group[];
	readonly hosts: Host[] = [];
	readonly backends: Backend[] = [];
	readonly callers: callers.Caller[] = [];
	readonly platform: platforms.Platform;
	/** Routes that configurations move; empty but in the plan for them. */
	readonly movingRoutes: readonly routes.Route[];
	/** The last log lines of each host. */
	readonly logs = new Map<string, string[]>();
	/** Unexpected exits of host processes: without a signal and with an exit code other than 0. */
	readonly unexpectedExits: string[] = [];
	readonly #random: random.Source;
	readonly #size: Size;
	readonly #stopped = new AbortController();
	readonly #callersStopped = new AbortController();
	readonly #tasks: Array<Promise<void>> = [];
	readonly #options: Options;
	readonly #fixedRoutes: readonly routes.Route[];
	#folder = '';
	#preparedAt = 0;
	#version = 1;

	constructor(size: Size, source: random.Source, options: Options) {
		this.#options = options;
		this.#size = size;
		this.#random = source;
		this.groups = Array.from({length: size.groups}, (_, index) => new replicated.Group(`ledgers${index}`, places, this.time, this.checker));
		const names = this.groups.map(({name}) => name);
		this.#fixedRoutes = routes.createFixed(names);
		this.movingRoutes = routes.createMoving(names).slice(0, size.movingRoutes);
		this.platform = new platforms.Platform(this.time, source, (service, server, order) => this.groups.find(({name}) => name === service)?.promote(server, order) ?? false);
		this.customers = size.customers > 0 ? new soakCustomers.Customers(this.time, this.contact, size.customers) : undefined;
		this.failovers = new failovers.Failovers({clock: this.time, contact: this.contact, lastAcknowledgedAt: group => this.checker.lastAcknowledgedAt(group)});
	}

	/** Clock time at which the store had the first configuration and all servers, before any host process was started. */
	get preparedAt(): number {
		return this.#preparedAt;
	}

	/** Names of the hosts that are missing in the store's list, so that hosts that start don't find them. */
	get unlistedHosts(): string[] {
		return this.hosts.map(({name}) => name).filter(name => !this.platform.has('sycamorering-hosts', name));
	}

	/** Violations found so far, those of all checks. */
	get violations(): readonly string[] {
		return [...this.checker.violations, ...this.configurations.violations, ...this.failovers.violations, ...this.unanswered.violations, ...this.customers?.violations ?? [], ...this.unexpectedExits];
	}

	/** Starts the stand-ins, writes the configuration and starts the host processes, without waiting until they are ready. */
	async start(): Promise<void> {
		this.#folder = await fs.mkdtemp(path.join(os.tmpdir(), 'sycamorering-soak-'));
		for (const group of this.groups) {
			this.#tasks.push(group.run(this.#stopped.signal));
			for (const server of group.servers) {
				const limits = {connections: this.#size.connections, slots: this.#size.slots, maxWorkMs: this.#size.maxWorkMs};
				const listener = new servers.Listener({
					clock: this.time, random: this.#random, checker: this.checker, unanswered: this.unanswered, customers: this.customers,
				}, limits, group, server);
				this.backends.push({
					group, server, listener, relay: await relay.Relay.start({host: '127.0.0.1', port: await listener.listen()}, 1),
				});
			}
		}

		this.configure();
		for (const backend of this.backends) {
			this.register(backend, 'ready');
		}

		this.#preparedAt = this.time.now();
		this.#tasks.push(this.#publishRoles(), this.#watchFailovers(), this.#measureStalls());
		for (let index = 0; index < this.#size.hosts; index++) {
			this.hosts.push(await this.#prepareHost(index));
		}

		for (const host of this.hosts) {
			this.startHost(host);
		}
	}

	/** Injects a fault and ends it. */
	async inject(fault: faults.Fault, durationMs: number): Promise<void> {
		this.contact.begin(fault.scopes);
		this.unplanned.begin(fault.unplannedScopes);
		fault.begin(this);
		await fault.hold(this, durationMs);
		fault.end(this);
		this.contact.end(fault.scopes);
		this.unplanned.end(fault.unplannedScopes);
	}

	/** Starts the callers. */
	startCallers(): void {
		for (let index = 0; index < this.#size.callers; index++) {
			const group = index % this.groups.length;
			const row = Math.floor(index / this.groups.length);
			const fixed = this.#fixedRoutes[(group * kindCount) + (row % kindCount)];
			const moving = row % 2 === 0 ? undefined : this.movingRoutes[Math.floor(row / 2) % Math.max(1, this.movingRoutes.length)];
			const route = moving ?? fixed;
			const isQuick = this.#size.hasQuickCallers && (moving !== undefined || Math.floor(row / kindCount) % 2 === 0);
			const caller = new callers.Caller(`c${index}`, {
				clock: this.time,
				random: this.#random,
				checker: this.checker,
				unanswered: this.unanswered,
				maxPauseMs: isQuick ? maxQuickPauseMs : maxPauseMs,
				scopes: ['store', 'hosts', ...(moving ? this.groups.flatMap((_, other) => serverScopes(other)) : serverScopes(group))],
				route: {database: route.database, guarantee: name => route.guarantee(name), timeoutMs: minTimeoutMs},
				customer: this.customers && {all: this.customers, index: index % this.customers.count},
				hosts: this.hosts.map(({callerAddress}) => callerAddress),
			});
			this.callers.push(caller);
			this.#tasks.push(caller.run(this.#callersStopped.signal));
		}

		for (const [host, {callerAddress: address}] of this.hosts.entries()) {
			const probe = new probes.Probe({
				clock: this.time, configurations: this.configurations, customers: this.customers, privateDatabase: `${this.groups[0].name}-primary`, address, process: () => this.#findProcess(host),
			});
			this.#tasks.push(probe.run(this.#callersStopped.signal));
		}
	}

	/** Number of operations that succeeded at or after the clock time `at`. */
	servedSince(at: number): number {
		return this.callers.reduce((sum, {servedAt}) => sum + servedAt.filter(time => time >= at).length, 0);
	}

	/** Writes a new version of the configuration, with a route of its own in place of that of the last version. */
	configure(): void {
		this.#version += this.#random.integer(1, 3);
		const database = probes.databaseName(this.configurations.latest + 1);
		this.unanswered.begin({kind: 'configuration'});
		this.platform.put('config', 'main', objects.formatConfiguration({
			version: this.#version,
			routes: [
				...[...this.#fixedRoutes, ...this.movingRoutes].flatMap(route => route.format(minTimeoutMs + this.#random.integer(0, 100)) ?? []),
				{
					database, service: this.groups[0].name, type: 'primary', maxAgeMs: 0, timeoutMs: minTimeoutMs, isPublic: this.customers !== undefined,
				},
			],
			services: this.groups.map(({name}) => name),
			connections: this.#size.connections,
			...(this.customers && {tenants: this.customers.format()}),
		}));
		this.configurations.acknowledge();
	}

	/** Replaces the key of a random customer; the next configuration holds the new one. */
	replaceKey(): void {
		this.customers?.replaceKey(this.#random.integer(0, this.customers.count - 1));
	}

	/** Ends a server and starts a new one at its address, with its log. */
	replace(index: number): void {
		const backend = this.backends[index];
		this.platform.remove('servers', backend.server.id);
		const server = backend.group.replace(backend.server);
		backend.listener.replace(server);
		this.backends[index] = {...backend, server};
	}

	/** Writes a server's registration. */
	register({group, server, relay: {port}}: Backend, state: 'ready' | 'draining' = server.isDraining ? 'draining' : 'ready'): void {
		this.platform.put('servers', server.id, objects.formatRegistration({
			service: group.name, address: `127.0.0.1:${port}`, place: server.place, slots: this.#size.slots, state, role: server.role, startedAt: server.startedAt,
		}));
	}

	/** Starts a host's process and restarts it 50 to 400 ms after each exit. */
	startHost(host: Host): void {
		const {daemon, load} = this.#options;
		const options: childProcess.SpawnOptions = {env: {...process.env, SYCAMORERING_SETTINGS: host.settingsFile}, stdio: ['ignore', 'pipe', 'pipe']};
		const child = load?.spawn(process.execPath, [daemonFiles[daemon]], options) ?? childProcess.spawn(process.execPath, [daemonFiles[daemon]], options);
		host.child = child;
		host.isPaused = false;
		const scopes = [`host ${this.hosts.indexOf(host)}`] as const;
		this.contact.begin(scopes);
		this.contact.end(scopes);
		const appendLog = (chunk: Uint8Array): void => {
			const lines = this.logs.get(host.name) ?? [];
			lines.push(...new TextDecoder().decode(chunk).split('\n').filter(text => text !== ''));
			this.logs.set(host.name, lines.length > 2 * maxLogLines ? lines.slice(-maxLogLines) : lines);
		};

		child.stdout?.on('data', appendLog);
		child.stderr?.on('data', appendLog);
		child.on('exit', (code, signal) => {
			if (signal === null && code !== 0) {
				const reason = this.logs.get(host.name)?.findLast(line => line.includes('Error')) ?? '';
				this.unexpectedExits.push(`${host.name} exited unexpectedly with code ${code}: ${reason.trim()}`);
			}

			if (host.child === child && !this.#stopped.signal.aborted) {
				const unplanned = signal === 'SIGTERM' || code === 0 ? [] : scopes;
				this.unplanned.begin(unplanned);
				setTimeout(() => {
					this.unplanned.end(unplanned);
					this.startHost(host);
				}, this.#random.integer(50, 400));
			}
		});
	}

	/** Stops the callers, compares the logs of the groups with the outcomes that callers received, and stops the deployment. */
	async stop(): Promise<void> {
		this.#callersStopped.abort();
		await this.time.sleep(2500);
		for (const group of this.groups) {
			if (group.primary) {
				this.checker.checkFinalLog(group.name, group.primary.log);
			} else {
				this.checker.violations.push(`leaderless: ${group.name} has no primary at the end`);
			}
		}

		this.customers?.checkQuotas();
		this.#stopped.abort();
		this.unplanned.begin(['hosts']);
		for (const {child} of this.hosts) {
			child?.kill('SIGKILL');
		}

		for (const {relay: link, listener} of this.backends) {
			link.stop();
			listener.close();
		}

		for (const {peerRelay, storeRelay} of this.hosts) {
			peerRelay.stop();
			storeRelay.stop();
		}

		this.platform.close();
		await Promise.all(this.#tasks);
		await fs.rm(this.#folder, {recursive: true});
	}

	/** Keeps the registrations of servers up to date: writes changes of role, and removes servers that don't respond. */
	async #publishRoles(): Promise<void> {
		const published = new Map<string, string>();
		while (!this.#stopped.signal.aborted) {
			for (const backend of this.backends) {
				const {server} = backend;
				const state = server.isUnresponsive ? '' : server.role;
				if (published.get(server.id) !== state) {
					published.set(server.id, state);
					if (state === '') {
						this.platform.remove('servers', server.id);
					} else {
						this.register(backend);
					}
				}
			}

			await this.time.sleep(rolePollMs, this.#stopped.signal);
		}
	}

	/** Checks the failovers of all groups until the deployment is stopped. */
	async #watchFailovers(): Promise<void> {
		while (!this.#stopped.signal.aborted) {
			for (const group of this.groups) {
				const others = [...this.backends.entries()].filter(([, {server}]) => group.servers.includes(server) && server.role !== 'primary');
				this.failovers.update(group, ['store', 'hosts', ...others.map(([index]) => `server ${index}` as const)]);
			}

			await this.time.sleep(failoverCheckIntervalMs, this.#stopped.signal);
		}
	}

	/** Measures how late this process runs its own timers: meanwhile its callers see no answer and no end of a connection. */
	async #measureStalls(): Promise<void> {
		while (!this.#stopped.signal.aborted) {
			const dueAt = this.time.now() + loopCheckIntervalMs;
			await this.time.sleep(loopCheckIntervalMs, this.#stopped.signal);
			if (this.time.now() - dueAt > minStallMs) {
				this.unanswered.stall(dueAt, this.time.now());
			}
		}
	}

	#findProcess(host: number): configurations.Process | undefined {
		const pid = this.hosts[host].child?.pid;
		return pid === undefined ? undefined : {host, pid};
	}

	async #prepareHost(index: number): Promise<Host> {
		const name = `entry-${index}`;
		const [caller, peer, readiness, metrics] = await Promise.all([ports.findFree(hostAddress), ports.findFree(hostAddress), ports.findFree(hostAddress), ports.findFree(hostAddress)]);
		const address = await this.platform.listen(name);
		const [storeHost, storePort] = address.split(':');
		const storeRelay = await relay.Relay.start({host: storeHost, port: Number(storePort)});
		const store = `127.0.0.1:${storeRelay.port}`;
		const peerRelay = await relay.Relay.start({host: hostAddress, port: peer}, 1);
		const seeds = this.hosts.slice(0, 2).map(host => `127.0.0.1:${host.peerRelay.port}`).join(',');
		const file = path.join(this.#folder, `${name}.ini`);
		await fs.writeFile(file, [
			'[host]',
			`name = ${name}`,
			`place = ${places[index % places.length]}`,
			'region = all',
			'[listen]',
			`caller = ${hostAddress}:${caller}`,
			`peer = ${hostAddress}:${peer}`,
			`readiness = ${hostAddress}:${readiness}`,
			`metrics = ${hostAddress}:${metrics}`,
			'[endpoints]',
			`store = ${store}`,
			`authority = ${store}`,
			'[shutdown]',
			`graceS = ${graceS}`,
			'[peers]',
			`seeds = ${seeds}`,
			...(this.customers ? formatQuota() : []),
		].join('\n'));
		this.platform.peerRelays.set(`${hostAddress}:${peer}`, `127.0.0.1:${peerRelay.port}`);
		return {
			name, settingsFile: file, callerAddress: `${hostAddress}:${caller}`, peerRelay, storeRelay, child: undefined, isPaused: false,
		};
	}
}

/** Settings of the bound on the operations of customers. */
function formatQuota(): string[] {
	const {windowS, overage, slack} = soakCustomers.bound;
	return ['[quota]', `windowS = ${windowS}`, `overage = ${overage}`, `slack = ${slack}`];
}

/** The servers of a group. */
export function serverScopes(group: number): contacts.Scope[] {
	return Array.from({length: serversPerGroup}, (_, index) => `server ${(group * serversPerGroup) + index}` as const);
}

const addressBase = 250;
/** Address of the hosts' listeners, which differs between soak tests at the same time: a host that restarts needs its ports again. */
export const hostAddress = `127.${[addressBase ** 2, addressBase, 1].map(unit => 1 + (Math.floor(process.pid / unit) % addressBase)).join('.')}`;
