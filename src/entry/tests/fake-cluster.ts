/**
A group of three backend servers, its authority and the store in memory. Servers have a log with a term, refuse as the
real ones do, and record what ran where.
*/
import * as Either from 'fp-ts/lib/Either.js';
import type * as types from '../../generated/types.js';
import type * as clock from '../../core/clock.js';
import * as errors from '../../core/errors.js';
import * as authority from '../authority.js';
import * as backend from '../backend.js';
import * as objects from '../objects.js';
import * as position from '../../core/position.js';
import type * as statement from '../statement.js';

/** A statement of a caller that ran. */
export type Ran = {readonly server: string; readonly id: string; readonly text: string; readonly index: number; readonly values: Record<string, string>};

/** How a server answers a statement of a caller: as usual, it runs it and the answer is lost, or not at all. */
export type Manner = 'usual' | 'answer-lost' | 'busy';

const oneWayMs = 4;
const workMs = 3;
const promoteMs = 300;

/** One server. */
export class Server extends backend.Server {
	override readonly name: string;
	override readonly place: string;
	role: types.Role;
	term = 1;
	heldTerm = 0;
	index = 0;
	/** It answers nothing, and connections to it hang. */
	isDark = false;
	/** It receives nothing from the primary. */
	isDeaf = false;
	manner: Manner = 'usual';
	readonly cluster: Cluster;
	readonly connections = new Set<Connection>();

	constructor(cluster: Cluster, name: string, place: string, role: types.Role) {
		super();
		this.cluster = cluster;
		this.name = name;
		this.place = place;
		this.role = role;
	}

	get end(): statement.Position {
		return {term: this.term, index: this.index};
	}

	override async connect(timeoutMs: number): Promise<errors.Outcome<backend.Connection>> {
		await this.cluster.clock.sleep(this.isDark ? timeoutMs : 2 * oneWayMs);
		if (this.isDark) {
			return errors.fail('not-run', 'connect', this.name, 'no answer');
		}

		const made = new Connection(this);
		this.connections.add(made);
		return Either.right(made);
	}
}

/** One connection. */
export class Connection extends backend.Connection {
	override readonly server: string;
	readonly #at: Server;
	#isOpen = true;
	#state: types.TransactionState = 'none';
	#isGuarded = false;
	readonly #serverValues = new Map<string, string>();
	readonly #serverPrepared = new Map<string, string>();

	constructor(at: Server) {
		super();
		this.#at = at;
		this.server = at.name;
	}

	override get isOpen(): boolean {
		return this.#isOpen;
	}

	override async send(command: statement.Command, timeoutMs: number): Promise<errors.Outcome<statement.Reply>> {
		if (!this.#isOpen) {
			return errors.fail('not-run', 'send', this.server, 'closed');
		}

		const reply = await this.#at.cluster.clock.limit(this.#process(command), timeoutMs);
		if (reply === undefined || !this.#isOpen) {
			this.close();
			return errors.fail('outcome-unknown', 'receive', this.server, 'no answer');
		}

		return Either.right(reply);
	}

	override async ask(command: statement.Command, timeoutMs: number): Promise<errors.Outcome<statement.Standing>> {
		const outcome = await this.send(command, timeoutMs);
		const {role, term, heldTerm, end} = this.#at;
		return Either.map((): statement.Standing => ({
			role, term, heldTerm, position: end, lagMs: 0,
		}))(outcome);
	}

	override async reset(timeoutMs: number): Promise<errors.Outcome<void>> {
		const outcome = await this.send({kind: 'reset'}, timeoutMs);
		this.values.clear();
		this.prepared.clear();
		return Either.map((): void => undefined)(outcome);
	}

	override close(): void {
		this.#isOpen = false;
		this.#at.connections.delete(this);
	}

	async #process(command: statement.Command): Promise<statement.Reply> {
		const {clock: time} = this.#at.cluster;
		await time.sleep(oneWayMs);
		await this.#hang();
		const reply = this.#run(command);
		await time.sleep(command.kind === 'forward' || command.kind === 'execute' ? workMs + oneWayMs : oneWayMs);
		if (this.#at.manner === 'answer-lost' && (command.kind === 'forward' || command.kind === 'execute')) {
			await new Promise(() => {
				// The answer never arrives.
			});
		}

		await this.#hang();
		return reply;
	}

	async #hang(): Promise<void> {
		if (this.#at.isDark) {
			await new Promise(() => {
				// A dark server answers nothing.
			});
		}
	}

	#run(command: statement.Command): statement.Reply {
		const server = this.#at;
		switch (command.kind) {
			case 'reset': {
				this.#serverValues.clear();
				this.#serverPrepared.clear();
				return this.#reply(null);
			}

			case 'set': {
				this.#serverValues.set(command.name, command.value);
				return this.#reply(null);
			}

			case 'prepare': {
				this.#serverPrepared.set(command.name, `${command.mode.toUpperCase()} ${command.shape}`);
				return this.#reply(null);
			}

			case 'begin': {
				if (server.role === 'replica') {
					return this.#reply('read-only');
				}

				this.#state = 'open';
				this.#isGuarded = true;
				return this.#reply(null);
			}

			case 'begin-read': {
				if (this.#lags(command.floor)) {
					return this.#reply('lagging');
				}

				this.#state = 'open';
				this.#isGuarded = false;
				return this.#reply(null);
			}

			case 'rollback': {
				this.#state = 'none';
				return this.#reply(null);
			}

			case 'pause': {
				server.heldTerm = Math.max(server.heldTerm, command.term);
				return this.#reply(null);
			}

			case 'resume': {
				server.heldTerm = 0;
				return this.#reply(null);
			}

			case 'step-down':
			case 'status': {
				return this.#reply(null);
			}

			case 'forward':
			case 'execute': {
				return this.#statement(command);
			}
		}
	}

	#statement(command: Extract<statement.Command, {kind: 'forward' | 'execute'}>): statement.Reply {
		const server = this.#at;
		const text = command.kind === 'forward' ? command.text : `${this.#serverPrepared.get(command.name) ?? ''} ${command.parameters}`;
		if (command.kind === 'execute' && !this.#serverPrepared.has(command.name)) {
			return this.#reply('not-prepared');
		}

		if (server.manner === 'busy') {
			return this.#reply('busy');
		}

		if (this.#lags(command.floor)) {
			return this.#reply('lagging');
		}

		const isWrite = text.startsWith('WRITE');
		if (server.role === 'replica' && (isWrite || (this.#state === 'open' && this.#isGuarded))) {
			this.#state = this.#state === 'open' ? 'failed' : 'none';
			return this.#reply('read-only');
		}

		const isCommit = text === 'COMMIT';
		if (isWrite || isCommit) {
			server.cluster.commit(server);
		}

		this.#state = isCommit ? 'none' : this.#state;
		server.cluster.ran.push({
			server: server.name, id: command.id, text, index: server.index, values: Object.fromEntries(this.#serverValues),
		});
		return {...this.#reply(null), rows: ['row'], signature: `${server.name}.${command.id}`};
	}

	#lags(floor: statement.Position | null): boolean {
		return floor !== null && position.compare(this.#at.end, floor) < 0;
	}

	#reply(refusal: statement.Refusal | null): statement.Reply {
		return {
			rows: [], signature: '-', refusal, message: '', state: this.#state, position: this.#at.end,
		};
	}
}

/** The group. Server `a` leads at first. */
export class Cluster {
	readonly clock: clock.Clock;
	readonly ran: Ran[] = [];
	readonly servers: readonly Server[];

	constructor(time: clock.Clock) {
		this.clock = time;
		this.servers = [
			new Server(this, 'a', 'east', 'primary'),
			new Server(this, 'b', 'west', 'replica'),
			new Server(this, 'c', 'north', 'replica'),
		];
	}

	get(name: string): Server {
		const found = this.servers.find(server => server.name === name);
		if (!found) {
			throw new Error(`no server ${name}`);
		}

		return found;
	}

	registration(name: string, change: Partial<types.Registration> = {}): types.Registration {
		const {place, role} = this.get(name);
		return {
			id: name, service: 'ledgers', address: `10.0.0.1:${1000 + name.codePointAt(0)!}`, place, slots: 2, state: 'ready', role, startedAt: 1, ...change,
		};
	}

	/** Appends to the leader's log, and to those of the replicas that receive. */
	commit(leader: Server): void {
		leader.index++;
		for (const server of this.servers) {
			if (server !== leader && !server.isDeaf && !server.isDark && server.heldTerm <= server.term) {
				server.index = leader.index;
				server.term = leader.term;
			}
		}
	}

	/** Makes a server lead the next term with what it has received. */
	promote(name: string): void {
		const target = this.get(name);
		const term = Math.max(...this.servers.map(server => server.term)) + 1;
		for (const server of this.servers) {
			server.role = server === target ? 'primary' : 'replica';
		}

		target.term = term;
		target.heldTerm = 0;
	}
}

/** Takes orders for a cluster. */
export class Authority extends authority.Authority {
	readonly orders: authority.Order[] = [];
	/** Orders that get no answer though they are carried out. */
	lost = 0;
	readonly #cluster: Cluster;
	#highest = 0;

	constructor(cluster: Cluster) {
		super();
		this.#cluster = cluster;
	}

	override async promote(order: authority.Order): Promise<errors.Outcome<authority.Verdict>> {
		this.orders.push(order);
		if (order.token < this.#highest) {
			return Either.right('refused');
		}

		this.#highest = order.token;
		void this.#carryOut(order.server);
		if (this.lost > 0) {
			this.lost--;
			return errors.fail('store', 'store', order.service, 'no answer');
		}

		return Either.right('accepted');
	}

	async #carryOut(server: string): Promise<void> {
		await this.#cluster.clock.sleep(promoteMs);
		if (this.#cluster.get(server).role === 'replica') {
			this.#cluster.promote(server);
		}
	}
}

/** How the store answers. */
export type Weather = 'well' | 'down' | 'answers-lost';

/** The store in memory. */
export class Objects extends objects.Objects {
	weather: Weather = 'well';
	/** The next watch finds that the history is gone. */
	isHistoryLost = false;
	readonly calls: string[] = [];
	readonly #items = new Map<string, objects.Item<objects.Kind>>();
	readonly #log: Array<{revision: number; key: string}> = [];
	#revision = 10;

	/** Writes an object as its owner would. */
	put<K extends objects.Kind>(kind: K, name: string, value: objects.Values[K] | undefined, fault = ''): objects.Item<K> {
		this.#revision++;
		const item: objects.Item<K> = {
			name, revision: this.#revision, value, fault,
		};
		this.#items.set(`${kind}/${name}`, item);
		this.#log.push({revision: this.#revision, key: `${kind}/${name}`});
		return item;
	}

	remove(kind: objects.Kind, name: string): void {
		this.#revision++;
		this.#items.delete(`${kind}/${name}`);
		this.#log.push({revision: this.#revision, key: `${kind}/${name}`});
	}

	override async list<K extends objects.Kind>(kind: K): Promise<errors.Outcome<objects.Listing<K>>> {
		this.calls.push(`list ${kind}`);
		const items = [...this.#items].filter(([key]) => key.startsWith(`${kind}/`)).map(([, item]) => item as objects.Item<K>);
		return this.weather === 'well' ? Either.right({items, revision: this.#revision}) : this.#down();
	}

	override async watch<K extends objects.Kind>(kind: K, revision: number): Promise<errors.Outcome<objects.Changes<K>>> {
		this.calls.push(`watch ${kind}`);
		if (this.weather !== 'well') {
			return this.#down();
		}

		if (this.isHistoryLost) {
			this.isHistoryLost = false;
			return Either.right({changes: [], revision, isLost: true});
		}

		const changes = this.#log
			.filter(entry => entry.revision > revision && entry.key.startsWith(`${kind}/`))
			.map(({key}) => ({name: key.slice(kind.length + 1), item: this.#items.get(key) as objects.Item<K> | undefined}));
		return Either.right({changes, revision: this.#revision, isLost: false});
	}

	override async read<K extends objects.Kind>(kind: K, name: string): Promise<errors.Outcome<objects.Item<K> | undefined>> {
		return this.weather === 'down' ? this.#down() : Either.right(this.#items.get(`${kind}/${name}`) as objects.Item<K> | undefined);
	}

	override async create<K extends objects.Kind>(kind: K, name: string, value: objects.Values[K]): Promise<errors.Outcome<objects.Item<K>>> {
		if (this.weather === 'down') {
			return this.#down();
		}

		return this.#items.has(`${kind}/${name}`) ? errors.fail('conflict', 'store', kind, 'it exists') : this.#written(this.put(kind, name, value));
	}

	override async replace<K extends objects.Kind>(kind: K, name: string, value: objects.Values[K], revision: number): Promise<errors.Outcome<objects.Item<K>>> {
		if (this.weather === 'down') {
			return this.#down();
		}

		return this.#items.get(`${kind}/${name}`)?.revision === revision
			? this.#written(this.put(kind, name, value))
			: errors.fail('conflict', 'store', kind, 'it has another revision');
	}

	#written<K extends objects.Kind>(item: objects.Item<K>): errors.Outcome<objects.Item<K>> {
		return this.weather === 'answers-lost' ? this.#down() : Either.right(item);
	}

	#down(): errors.Outcome<never> {
		return errors.fail('store', 'store', 'store', 'no answer');
	}
}

/**
A store as one host reaches it. Watches take their time, so that a follower doesn't spin on the manual clock, and its own
weather is that on the way to it.
*/
export class Paced extends Objects {
	readonly #store: Objects;
	readonly #clock: clock.Clock;

	constructor(store: Objects, time: clock.Clock) {
		super();
		this.#store = store;
		this.#clock = time;
	}

	override async list<K extends objects.Kind>(kind: K): Promise<errors.Outcome<objects.Listing<K>>> {
		return this.weather === 'well' ? this.#store.list(kind) : super.list(kind);
	}

	override async watch<K extends objects.Kind>(kind: K, revision: number, waitMs = 100): Promise<errors.Outcome<objects.Changes<K>>> {
		await this.#clock.sleep(waitMs);
		return this.weather === 'well' ? this.#store.watch(kind, revision) : super.watch(kind, revision);
	}
}
