/**
In-memory fakes of a group of three backend servers, its authority and the store. Servers have a log with a term, refuse
commands as real ones do, and record the statements they execute.
*/
import * as Either from 'fp-ts/lib/Either.js';
import type * as types from '../../generated/types.js';
import type * as clock from '../../core/clock.js';
import * as errors from '../../core/errors.js';
import * as authority from '../authority.js';
import * as backend from '../backend.js';
import * as objects from '../objects.js';
import * as revisions from '../revision.js';
import * as position from '../../core/position.js';
import type * as statement from '../statement.js';

/** A caller's statement that was executed, with the customer that its connection was opened for and the log at which it ran. */
export type Execution = {readonly server: string; readonly customer: string | undefined; readonly id: string; readonly text: string; readonly index: number; readonly log: readonly string[]; readonly values: Record<string, string>};

/** How a server handles a caller's statement: normally, executing it but losing the response, refusing it as busy, or failing it. */
export type ResponseMode = 'usual' | 'answer-lost' | 'busy' | 'failed';

const oneWayLatencyMs = 4;
const executionMs = 3;
const defaultPromotionMs = 300;
/** Time for which a replica that was ahead of a new primary is busy. */
const rollbackMs = 300;
/** Time without a heartbeat after which a registration is removed. */
const heartbeatExpiryMs = 3000;
/** Interval at which a commit that waits for a replica looks for one. */
const replicationPollMs = 5;

/** Fake backend server. */
export class Server extends backend.Server {
	override readonly name: string;
	override readonly place: string;
	role: types.Role;
	term = 1;
	heldTerm = 0;
	index = 0;
	/** Ids of the commits in the log, of those that were made with an id. */
	log: readonly string[] = [];
	/** The server sends no responses, and connection attempts time out. */
	isUnresponsive = false;
	/** The server refuses new connections at its limit. */
	isAtLimit = false;
	/** The server leads on though it was told to step down. */
	isIgnoringStepDown = false;
	/** The server receives no log entries from the primary. */
	isReplicationCut = false;
	/** Time from the acknowledgement of a commit until its reply is written. */
	commitReplyDelayMs = 0;
	/** Replies carry no position. */
	hidesPosition = false;
	/** Requests that take a slot are refused as busy. */
	isSaturated = false;
	isRollingBack = false;
	/** Clock time since which the process does not run; `undefined` while it does. */
	downSince: number | undefined;
	/** The server has left for good. */
	isGone = false;
	state: types.ServerState = 'ready';
	startedAt = 1;
	responseMode: ResponseMode = 'usual';
	readonly cluster: Cluster;
	readonly connections = new Set<Connection>();
	readonly address: string;

	constructor(cluster: Cluster, name: string, place: string, role: types.Role) {
		super();
		// A replacement has the first letter of the name of its predecessor, and the same address.
		this.address = `10.0.0.1:${1000 + name.codePointAt(0)!}`;
		this.cluster = cluster;
		this.name = name;
		this.place = place;
		this.role = role;
	}

	get isRunning(): boolean {
		return !this.isGone && this.downSince === undefined;
	}

	/** Ends the process: it answers nobody, and its connections are lost. */
	stop(): void {
		this.isUnresponsive = true;
		this.downSince = this.cluster.clock.now();
		for (const connection of this.connections) {
			connection.close();
		}
	}

	/** Starts the process again: with its log, as primary unless another server was promoted, or without it. */
	start(keepsLog: boolean): void {
		this.isUnresponsive = false;
		this.downSince = undefined;
		this.heldTerm = 0;
		this.role = keepsLog && this.cluster.lastPromoted === this ? 'primary' : 'replica';
		if (!keepsLog) {
			this.cluster.lastPromoted = this.cluster.lastPromoted === this ? undefined : this.cluster.lastPromoted;
			this.log = [];
			this.term = 0;
			this.index = 0;
			this.startedAt = this.cluster.clock.now();
		}
	}

	/** Rolls the log back to that of a new primary. */
	async rollBack(primary: Server): Promise<void> {
		this.log = primary.log;
		this.index = primary.index;
		this.isRollingBack = true;
		await this.cluster.clock.sleep(rollbackMs);
		this.isRollingBack = false;
	}

	get end(): statement.Position {
		return {term: this.term, index: this.index};
	}

	/** Closes all connections and refuses new ones, as after a power loss of the hosts, until `isAtLimit` is reset. */
	fillConnectionLimit(): void {
		this.isAtLimit = true;
		for (const connection of this.connections) {
			connection.close();
		}
	}

	override async connect(timeoutMs: number, customer?: string): Promise<errors.Outcome<backend.Connection>> {
		await this.cluster.clock.sleep(this.isUnresponsive ? timeoutMs : 2 * oneWayLatencyMs);
		if (this.isUnresponsive) {
			return errors.fail('not-run', 'connect', this.name, 'no response');
		}

		if (this.isAtLimit) {
			return errors.fail('not-run', 'admit', this.name, 'too many connections');
		}

		const connection = new Connection(this, customer);
		this.connections.add(connection);
		return Either.right(connection);
	}
}

/** Commands that a saturated server refuses. */
const slotCommands: ReadonlySet<statement.Command['kind']> = new Set(['status', 'pause', 'step-down', 'forward', 'execute']);

/** Fake connection to a server. */
export class Connection extends backend.Connection {
	override readonly server: string;
	readonly customer: string | undefined;
	readonly #server: Server;
	#isOpen = true;
	#state: types.TransactionState = 'none';
	#isWriteTransaction = false;
	readonly #sessionValues = new Map<string, string>();
	readonly #sessionPrepared = new Map<string, string>();

	constructor(server: Server, customer?: string) {
		super();
		this.#server = server;
		this.server = server.name;
		this.customer = customer;
	}

	override get isOpen(): boolean {
		return this.#isOpen;
	}

	override async send(command: statement.Command, timeoutMs: number): Promise<errors.Outcome<statement.Reply>> {
		if (!this.#isOpen) {
			return errors.fail('not-run', 'send', this.server, 'closed');
		}

		const reply = await this.#server.cluster.clock.limit(this.#process(command), timeoutMs);
		if (reply === undefined || !this.#isOpen) {
			this.close();
			return errors.fail('outcome-unknown', 'receive', this.server, 'no response');
		}

		return Either.right(reply);
	}

	override async requestStatus(command: statement.Command, timeoutMs: number): Promise<errors.Outcome<statement.ServerStatus>> {
		const outcome = await this.send(command, timeoutMs);
		const {role, term, heldTerm, end} = this.#server;
		if (Either.isRight(outcome) && outcome.right.refusal !== null) {
			return errors.fail('not-run', 'receive', this.server, outcome.right.refusal);
		}

		return Either.map((): statement.ServerStatus => ({
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
		this.#server.connections.delete(this);
	}

	async #process(command: statement.Command): Promise<statement.Reply> {
		const {clock: time} = this.#server.cluster;
		await time.sleep(oneWayLatencyMs);
		await this.#hangIfUnresponsive();
		const isBusy = slotCommands.has(command.kind) && (this.#server.isSaturated || this.#server.isRollingBack);
		const reply = isBusy ? this.#reply('busy') : this.#run(command);
		const {term, index} = this.#server;
		if (this.#isCommit(command) && reply.refusal === null && !await this.#awaitReplica(term, index)) {
			this.close();
		}

		if (this.#isCommit(command)) {
			await time.sleep(this.#server.commitReplyDelayMs);
		}

		await time.sleep(command.kind === 'forward' || command.kind === 'execute' ? executionMs : 0);
		// A reply carries the end of the log at the time at which it is written: that of the next term once the lead is lost.
		const logEnd = this.#server.end;
		await time.sleep(oneWayLatencyMs);
		if (this.#server.responseMode === 'answer-lost' && (command.kind === 'forward' || command.kind === 'execute')) {
			await new Promise(() => {
				// The response never arrives.
			});
		}

		await this.#hangIfUnresponsive();
		return {...reply, position: this.#server.hidesPosition ? null : logEnd};
	}

	#isCommit(command: statement.Command): boolean {
		return command.kind === 'forward' && (command.text === 'COMMIT' || command.text.startsWith('WRITE'));
	}

	/** Waits until a replica has received an entry, if the cluster requires that; false if the server lost the lead before. */
	async #awaitReplica(term: number, index: number): Promise<boolean> {
		const {cluster} = this.#server;
		while (cluster.requiresReplica && this.#isOpen) {
			if (this.#server.role !== 'primary' || this.#server.term !== term) {
				return false;
			}

			if (cluster.isReplicated(this.#server, index)) {
				break;
			}

			await cluster.clock.sleep(replicationPollMs);
		}

		return true;
	}

	async #hangIfUnresponsive(): Promise<void> {
		if (this.#server.isUnresponsive) {
			await new Promise(() => {
				// An unresponsive server sends nothing.
			});
		}
	}

	#run(command: statement.Command): statement.Reply {
		const server = this.#server;
		switch (command.kind) {
			case 'reset': {
				this.#sessionValues.clear();
				this.#sessionPrepared.clear();
				return this.#reply(null);
			}

			case 'set': {
				this.#sessionValues.set(command.name, command.value);
				return this.#reply(null);
			}

			case 'prepare': {
				this.#sessionPrepared.set(command.name, `${command.mode.toUpperCase()} ${command.shape}`);
				return this.#reply(null);
			}

			case 'begin': {
				if (server.role === 'replica') {
					return this.#reply('read-only');
				}

				this.#state = 'open';
				this.#isWriteTransaction = true;
				return this.#reply(null);
			}

			case 'begin-read': {
				if (this.#isBehind(command.minPosition)) {
					return this.#reply('lagging');
				}

				this.#state = 'open';
				this.#isWriteTransaction = false;
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

			case 'step-down': {
				if (server.role === 'primary' && command.term > server.term && !server.isIgnoringStepDown) {
					server.role = 'replica';
				}

				return this.#reply(null);
			}

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
		const server = this.#server;
		const text = command.kind === 'forward' ? command.text : `${this.#sessionPrepared.get(command.name) ?? ''} ${command.parameters}`;
		if (command.kind === 'execute' && !this.#sessionPrepared.has(command.name)) {
			return this.#reply('not-prepared');
		}

		if (server.responseMode === 'busy' || server.responseMode === 'failed') {
			return this.#reply(server.responseMode);
		}

		if (this.#isBehind(command.minPosition)) {
			return this.#reply('lagging');
		}

		const isWrite = text.startsWith('WRITE');
		if (server.role === 'replica' && (isWrite || (this.#state === 'open' && this.#isWriteTransaction))) {
			this.#state = this.#state === 'open' ? 'failed' : 'none';
			return this.#reply('read-only');
		}

		const isCommit = text === 'COMMIT';
		if (isWrite || isCommit) {
			server.cluster.commit(server, command.id);
		}

		this.#state = isCommit ? 'none' : this.#state;
		server.cluster.executions.push({
			server: server.name, customer: this.customer, id: command.id, text, index: server.index, log: server.log, values: Object.fromEntries(this.#sessionValues),
		});
		return {...this.#reply(null), rows: ['row'], signature: `${server.name}.${command.id}`};
	}

	#isBehind(minPosition: statement.Position | null): boolean {
		return minPosition !== null && position.compare(this.#server.end, minPosition) < 0;
	}

	#reply(refusal: statement.Refusal | null): statement.Reply {
		return {
			rows: [], signature: '-', refusal, message: '', state: this.#state, position: this.#server.end,
		};
	}
}

/** Fake group. Server `a` is the first primary. */
export class Cluster {
	readonly clock: clock.Clock;
	readonly executions: Execution[] = [];
	/** The server that was promoted last; it leads again when it restarts with its log. */
	lastPromoted: Server | undefined;
	/** Whether a commit gets its response only once a replica has received it. */
	requiresReplica = false;
	#servers: readonly Server[];
	#replacements = 0;
	#term = 1;

	constructor(time: clock.Clock) {
		this.clock = time;
		this.#servers = [
			new Server(this, 'a', 'east', 'primary'),
			new Server(this, 'b', 'west', 'replica'),
			new Server(this, 'c', 'north', 'replica'),
		];
		[this.lastPromoted] = this.#servers;
	}

	/** The servers that have not left. */
	get servers(): readonly Server[] {
		return this.#servers;
	}

	/** The entries in the store's list of servers. */
	get registrations(): readonly types.Registration[] {
		const listed = this.#servers.filter(({downSince}) => downSince === undefined || this.clock.now() - downSince < heartbeatExpiryMs);
		return listed.map(({name}) => this.registration(name));
	}

	/** Lets a server leave, whose log goes to a new server at its address. */
	replace(server: Server, name?: string): Server {
		this.#replacements++;
		const successor = new Server(this, name ?? `${server.name[0]}${this.#replacements}`, server.place, 'replica');
		successor.startedAt = this.clock.now();
		successor.term = server.term;
		successor.index = server.index;
		successor.log = server.log;
		server.stop();
		server.isGone = true;
		server.role = 'replica';
		this.#servers = this.#servers.map(other => other === server ? successor : other);
		return successor;
	}

	get(name: string): Server {
		const found = this.servers.find(server => server.name === name);
		if (!found) {
			throw new Error(`no server ${name}`);
		}

		return found;
	}

	registration(name: string, change: Partial<types.Registration> = {}): types.Registration {
		const {place, role, address, state, startedAt} = this.get(name);
		return {
			id: name, service: 'ledgers', address, place, slots: 2, state, role, startedAt, ...change,
		};
	}

	/**
	Appends an entry to the primary's log and to the logs of the replicas that still replicate. Returns whether the commit is
	acknowledged: the server leads, and a replica has received the entry.
	*/
	commit(primary: Server, id = ''): boolean {
		if (primary.role !== 'primary') {
			return false;
		}

		primary.index++;
		primary.log = [...primary.log, id];
		return this.isReplicated(primary, primary.index);
	}

	/** Sends the primary's log to the replicas that receive. Returns whether one of them has the entry at `index`. */
	isReplicated(primary: Server, index: number): boolean {
		const replicas = this.servers.filter(server => server !== primary);
		for (const server of replicas) {
			if (!server.isReplicationCut && !server.isUnresponsive && server.heldTerm <= primary.term) {
				server.index = primary.index;
				server.term = primary.term;
				server.log = primary.log;
			}
		}

		return replicas.some(server => server.term === primary.term && server.index >= index);
	}

	/** Makes a server the primary of the next term, with its log as it is. */
	promote(name: string): void {
		const target = this.get(name);
		this.#term = Math.max(this.#term, ...this.servers.map(server => server.term)) + 1;
		for (const server of this.servers) {
			server.role = server === target ? 'primary' : 'replica';
			if (server.index > target.index && !server.isReplicationCut && server.isRunning) {
				void server.rollBack(target);
			}
		}

		this.lastPromoted = target;
		target.term = this.#term;
		target.heldTerm = 0;
	}
}

/**
What happens to one order: it is accepted and carried out late, it is carried out late without an answer, or not at all. Its
fence is also checked at the time at which it is carried out.
*/
export type Fate = {readonly kind: 'late effect' | 'late' | 'unavailable'; readonly delayMs: number};

/** Fake authority of a cluster. */
export class Authority extends authority.Authority {
	readonly requests: authority.Request[] = [];
	/** Number of upcoming requests that are carried out without a response. */
	lostResponses = 0;
	/** Requests fail, with the answer that they are not carried out. */
	isUnavailable = false;
	/** Requests get no response and wait in `held` until a test has them carried out, maybe after newer ones. */
	isHolding = false;
	readonly held: authority.Request[] = [];
	/** What happens to the next requests, in their order. */
	readonly fates: Fate[] = [];
	/** Time from the acceptance of a request until the server leads. */
	promotionMs = defaultPromotionMs;
	readonly #cluster: Cluster;
	/** Names of the servers for which a request waits to be carried out, or to take effect. */
	readonly #pending: string[] = [];
	#highestToken = 0;

	constructor(cluster: Cluster) {
		super();
		this.#cluster = cluster;
	}

	override async promote(request: authority.Request): Promise<errors.Outcome<authority.Result>> {
		this.requests.push(request);
		if (this.isUnavailable) {
			return errors.fail('not-run', 'store', request.service, 'unavailable');
		}

		if (this.isHolding) {
			this.held.push(request);
			return errors.fail('store', 'store', request.service, 'no response');
		}

		const fate = this.fates.shift();
		if (fate) {
			return this.#meet(fate, request);
		}

		const result = this.carryOut(request);
		if (this.lostResponses > 0) {
			this.lostResponses--;
			return errors.fail('store', 'store', request.service, 'no response');
		}

		return Either.right(result);
	}

	/** Whether a request for a server may still take effect. */
	hasPending(server: string): boolean {
		return this.#pending.includes(server);
	}

	/** Carries out a request unless one with a higher token has been received before. */
	carryOut(request: authority.Request, afterMs = this.promotionMs): authority.Result {
		if (!this.#mayCarryOut(request)) {
			return 'refused';
		}

		this.#highestToken = request.token;
		void this.#promoteServer(request.server, afterMs);
		return 'accepted';
	}

	#mayCarryOut({server, token}: authority.Request): boolean {
		return token >= this.#highestToken && this.#cluster.servers.some(({name, isRunning}) => name === server && isRunning);
	}

	async #meet({kind, delayMs}: Fate, request: authority.Request): Promise<errors.Outcome<authority.Result>> {
		switch (kind) {
			case 'late effect': {
				if (!this.#mayCarryOut(request)) {
					return Either.right('refused');
				}

				this.#highestToken = request.token;
				void this.#carryOutLater(request, delayMs);
				return Either.right('accepted');
			}

			case 'late': {
				void this.#carryOutLater(request, delayMs);
				return errors.fail('store', 'store', request.service, 'no response');
			}

			case 'unavailable': {
				return errors.fail('store', 'store', request.service, 'unavailable');
			}
		}
	}

	async #carryOutLater(request: authority.Request, afterMs: number): Promise<void> {
		await this.#await(request.server, afterMs);
		this.carryOut(request);
	}

	async #await(server: string, ms: number): Promise<void> {
		this.#pending.push(server);
		await this.#cluster.clock.sleep(ms);
		this.#pending.splice(this.#pending.indexOf(server), 1);
	}

	async #promoteServer(server: string, afterMs: number): Promise<void> {
		await this.#await(server, afterMs);
		const target = this.#cluster.servers.find(({name}) => name === server);
		if (target?.isRunning && target.role === 'replica') {
			this.#cluster.promote(server);
		}
	}
}

/** How the store responds. */
export type State = 'well' | 'down' | 'answers-lost';

/** In-memory store. */
export class Objects extends objects.Objects {
	state: State = 'well';
	/** Makes the next watch report that the history was discarded. */
	isHistoryLost = false;
	readonly calls: string[] = [];
	#items = new Map<string, objects.Item<objects.Kind>>();
	#log: Array<{revision: number; key: string}> = [];
	#revision = 10;
	#copy: {readonly items: ReadonlyMap<string, objects.Item<objects.Kind>>; readonly revision: number} = {items: new Map(), revision: 10};

	get revision(): number {
		return this.#revision;
	}

	/** Writes an object unconditionally. */
	put<K extends objects.Kind>(kind: K, name: string, value: objects.Values[K] | undefined, fault = ''): objects.Item<K> {
		this.#revision++;
		const item: objects.Item<K> = {
			name, revision: this.#revision, value, fault,
		};
		this.#items.set(`${kind}/${name}`, item);
		this.#log.push({revision: this.#revision, key: `${kind}/${name}`});
		return item;
	}

	/** Takes a copy of the current state, to which `restore` returns. */
	copy(): void {
		this.#copy = {items: new Map(this.#items), revision: this.#revision};
	}

	/** Returns to the copy: what was written since is gone, and its revisions are given out again in the next generation. */
	restore(): void {
		const generation = revisions.split(this.#revision).generation + 1;
		const renew = (revision: number): number => revisions.combine({generation, counter: revisions.split(revision).counter});
		this.#items = new Map([...this.#copy.items].map(([key, item]) => [key, {...item, revision: renew(item.revision)}]));
		this.#revision = renew(this.#copy.revision);
		this.#log = [];
	}

	remove(kind: objects.Kind, name: string): void {
		this.#revision++;
		this.#items.delete(`${kind}/${name}`);
		this.#log.push({revision: this.#revision, key: `${kind}/${name}`});
	}

	override async list<K extends objects.Kind>(kind: K): Promise<errors.Outcome<objects.Listing<K>>> {
		this.calls.push(`list ${kind}`);
		const items = [...this.#items].filter(([key]) => key.startsWith(`${kind}/`)).map(([, item]) => item as objects.Item<K>);
		return this.state === 'well' ? Either.right({items, revision: this.#revision, unreadable: []}) : this.#unavailable();
	}

	override async watch<K extends objects.Kind>(kind: K, revision: number): Promise<errors.Outcome<objects.Changes<K>>> {
		this.calls.push(`watch ${kind}`);
		if (this.state !== 'well') {
			return this.#unavailable();
		}

		if (this.isHistoryLost || revisions.split(revision).generation < revisions.split(this.#revision).generation) {
			this.isHistoryLost = false;
			return Either.right({
				changes: [], revision, isLost: true, unreadable: [],
			});
		}

		const changes = this.#log
			.filter(entry => entry.revision > revision && entry.key.startsWith(`${kind}/`))
			.map(({key}) => ({name: key.slice(kind.length + 1), item: this.#items.get(key) as objects.Item<K> | undefined}));
		return Either.right({
			changes, revision: this.#revision, isLost: false, unreadable: [],
		});
	}

	override async read<K extends objects.Kind>(kind: K, name: string): Promise<errors.Outcome<objects.Item<K> | undefined>> {
		return this.state === 'down' ? this.#unavailable() : Either.right(this.#items.get(`${kind}/${name}`) as objects.Item<K> | undefined);
	}

	override async create<K extends objects.Kind>(kind: K, name: string, value: objects.Values[K]): Promise<errors.Outcome<objects.Item<K>>> {
		if (this.state === 'down') {
			return this.#unavailable();
		}

		return this.#items.has(`${kind}/${name}`) ? errors.fail('conflict', 'store', kind, 'the object already exists') : this.#respondToWrite(this.put(kind, name, value));
	}

	override async replace<K extends objects.Kind>(kind: K, name: string, value: objects.Values[K], revision: number): Promise<errors.Outcome<objects.Item<K>>> {
		if (this.state === 'down') {
			return this.#unavailable();
		}

		return this.#items.get(`${kind}/${name}`)?.revision === revision
			? this.#respondToWrite(this.put(kind, name, value))
			: errors.fail('conflict', 'store', kind, 'the object has another revision');
	}

	#respondToWrite<K extends objects.Kind>(item: objects.Item<K>): errors.Outcome<objects.Item<K>> {
		return this.state === 'answers-lost' ? this.#unavailable() : Either.right(item);
	}

	#unavailable(): errors.Outcome<never> {
		return errors.fail('store', 'store', 'store', 'no response');
	}
}

const quietWatchMs = 20_000;

/**
The shared store as reached from one host; `state` is that of the network path between them. Watches take time on the
manual clock, so that a follower doesn't spin.
*/
export class HostStore extends Objects {
	/** Clock time of the first watch of each kind. */
	readonly watchedAt = new Map<objects.Kind, number>();
	/** Kinds whose watches wait for as long as that of a kind without changes. */
	readonly quietKinds = new Set<objects.Kind>();
	readonly #store: Objects;
	readonly #clock: clock.Clock;

	constructor(store: Objects, time: clock.Clock) {
		super();
		this.#store = store;
		this.#clock = time;
	}

	override async list<K extends objects.Kind>(kind: K): Promise<errors.Outcome<objects.Listing<K>>> {
		return this.state === 'well' ? this.#store.list(kind) : super.list(kind);
	}

	override async watch<K extends objects.Kind>(kind: K, revision: number, waitMs = 100): Promise<errors.Outcome<objects.Changes<K>>> {
		this.watchedAt.set(kind, this.watchedAt.get(kind) ?? this.#clock.now());
		await this.#clock.sleep(this.quietKinds.has(kind) ? quietWatchMs : waitMs);
		return this.state === 'well' ? this.#store.watch(kind, revision) : super.watch(kind, revision);
	}
}
