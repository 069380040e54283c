/**
A stand-in for one server of a database group. It speaks the MySQL protocol, executes SQL with SQLite, keeps a log
with terms and replicates asynchronously. Faults are set by `CALL standin_set(name, value)`.
*/
import * as Either from 'fp-ts/lib/Either.js';
import * as clock from '../core/clock.js';
import * as errors from '../core/errors.js';
import * as notifier from '../core/notifier.js';
import * as position from '../core/position.js';
import type * as types from '../generated/types.js';
import * as client from '../mysql/client.js';
import * as server from '../mysql/server.js';
import * as engine from './engine.js';
import * as lock from './lock.js';
import * as log from './log.js';

/** How a stand-in server behaves. Times in ms. */
export type Options = {
	readonly name: string;
	readonly host: string;
	readonly port: number;
	/** Addresses of the other servers of the group, by name. */
	readonly peers: ReadonlyMap<string, {readonly host: string; readonly port: number}>;
	readonly connectionLimit: number;
	/** Statements executed at the same time. */
	readonly slots: number;
	/** Time that the server takes to accept a connection. */
	readonly connectMs: number;
	/** Time that each statement takes. */
	readonly serviceMs: number;
	/** Delay of replication. */
	readonly lagMs: number;
	/** Whether the server begins as primary of term 1. */
	readonly isPrimary: boolean;
	/** Statements executed before the log begins, the same on every server. */
	readonly schema: readonly string[];
	readonly password: string;
};

/** Settings that can change while a server runs. */
type Faults = {lagMs: number; serviceMs: number; isFrozen: boolean; isCut: boolean; isLeaving: boolean};

type Session = {
	/** Statements of the open transaction that changed data. */
	writes: string[];
	isInTransaction: boolean;
	/** The term in which the transaction began. */
	term: number;
	release: (() => void) | undefined;
	/** Set when a newer term ended its transaction; the connection is closed, and nothing more runs on it. */
	isEnded: boolean;
};

const codeReadOnly = 1290;
const codeTooManyConnections = 1040;
const codeLockTimeout = 1205;
const codeSyntax = 1064;
const lockTimeoutMs = 5000;
const freezePollMs = 5;
const replicationWaitMs = 200;
const replicationTimeoutMs = 1000;
const replicationUser = 'replication';
const entriesPerPull = 500;

const writePattern = /^\s*(?:insert|update|delete|replace|create|drop|alter)\b/iv;
const callPattern = /^\s*call\s+(?<name>\w+)\s*\((?<list>.*)\)\s*;?\s*$/isv;

/** One server of a group. */
export class Database extends server.Handler<string> {
	static async start(options: Options): Promise<Database> {
		const database = new Database(options, await engine.Engine.load(options.name));
		await database.#start();
		return database;
	}

	readonly #options: Options;
	readonly #engine: engine.Engine;
	readonly #log = new log.Log();
	readonly #clock = new clock.System();
	readonly #writeLock = new lock.Lock(1);
	readonly #slots: lock.Lock;
	readonly #listener: server.Server<string>;
	readonly #faults: Faults;
	readonly #stopped = new AbortController();
	readonly #connections = new Set<server.Connection>();
	readonly #sessions = new Map<server.Connection, Session>();
	readonly #appended = new notifier.Notifier();
	readonly #arrivals = new Map<number, number>();
	readonly #dropped: log.Entry[][] = [];
	#expected: Array<{readonly text: string; readonly begin: () => void}> = [];
	#role: types.Role;
	#term: number;
	#claimant = '';
	/** Term of which this server was primary until it adopted the present one; followers may still fetch its log. */
	#servedTerm = 0;
	#following = '';
	#port = 0;

	private constructor(options: Options, sqlEngine: engine.Engine) {
		super();
		this.#options = options;
		this.#engine = sqlEngine;
		this.#slots = new lock.Lock(options.slots);
		this.#listener = new server.Server<string>(this, '8.0.0-standin');
		this.#faults = {
			lagMs: options.lagMs, serviceMs: options.serviceMs, isFrozen: false, isCut: false, isLeaving: false,
		};
		this.#role = options.isPrimary ? 'primary' : 'replica';
		this.#term = 1;
	}

	/** The port on which the server listens. */
	get port(): number {
		return this.#port;
	}

	/** What ran, in order; the oracle of tests. */
	get entries(): readonly log.Entry[] {
		return this.#log.entries;
	}

	/** Entries that the server dropped because its primary does not hold them, with the log before them, one list each time. */
	get dropped(): ReadonlyArray<readonly log.Entry[]> {
		return this.#dropped;
	}

	get status(): types.Status {
		return {
			server: this.#options.name,
			role: this.#role,
			term: this.#term,
			claimant: this.#claimant,
			last: this.#log.last,
			history: [...this.#log.history],
			following: this.#following,
			connections: this.#connections.size,
			connectionLimit: this.#options.connectionLimit,
			leaving: this.#faults.isLeaving,
		};
	}

	/** Time in ms, of this process's monotonic clock, at which the log received the entry with this index. */
	arrivedAt(index: number): number | undefined {
		return this.#arrivals.get(index);
	}

	/** Changes how the server behaves from now on. */
	set(change: Partial<Faults>): void {
		Object.assign(this.#faults, change);
		if (change.isCut) {
			this.disconnect();
		}
	}

	/** Restarts the server: terms and log are durable, its role and connections are not. */
	restart(): void {
		this.#role = 'replica';
		this.#servedTerm = 0;
		this.#endTransactions();
		this.disconnect();
	}

	/** Resolves when the server next begins a statement that starts with `text`. */
	async whenExecuting(text: string): Promise<void> {
		return new Promise(resolve => {
			this.#expected.push({text, begin: resolve});
		});
	}

	/** Closes every open connection. */
	disconnect(): void {
		for (const connection of this.#connections) {
			connection.close();
		}
	}

	/** Stops the server. */
	stop(): void {
		this.#stopped.abort();
		this.#listener.close();
		this.disconnect();
	}

	/** Makes a replica follow `primary` from now on without a term change; used to set up a group. */
	replicateFrom(primary: string): void {
		this.#following = primary;
	}

	override find(user: string): errors.Outcome<{account: string; passwordHash: string}> {
		const counted = user !== replicationUser;
		if (counted && this.#connections.size >= this.#options.connectionLimit) {
			return Either.left(errors.database(this.#options.name, 'Too many connections', codeTooManyConnections));
		}

		return Either.right({account: user, passwordHash: server.hashPassword(this.#options.password)});
	}

	override async serve(connection: server.Connection, user: string): Promise<void> {
		if (user !== replicationUser) {
			this.#connections.add(connection);
		}

		const session: Session = {
			writes: [], isInTransaction: false, term: 0, release: undefined, isEnded: false,
		};
		this.#sessions.set(connection, session);
		await this.#clock.sleep(this.#options.connectMs, connection.closed);
		try {
			for (let command = await connection.next(); command; command = await connection.next()) {
				await this.#thaw(connection);
				await this.#answer(connection, command, session);
			}
		} finally {
			this.#connections.delete(connection);
			this.#sessions.delete(connection);
			this.#rollback(session);
		}
	}

	async #start(): Promise<void> {
		this.#engine.apply(this.#options.schema);
		if (this.#options.isPrimary) {
			this.#append([]);
		}

		this.#port = await this.#listener.listen(this.#options.host, this.#options.port);
		void this.#replicate();
	}

	/** Waits for `ms`, if that is any time. A timer of 0 ms takes 1 ms, which held replication below 900 entries a second. */
	async #delay(ms: number): Promise<void> {
		if (ms > 0) {
			await this.#clock.sleep(ms, this.#stopped.signal);
		}
	}

	async #thaw(connection: server.Connection): Promise<void> {
		while ((this.#faults.isFrozen || this.#faults.isCut) && !connection.closed.aborted) {
			await this.#clock.sleep(freezePollMs, connection.closed);
		}
	}

	async #answer(connection: server.Connection, command: server.Command, session: Session): Promise<void> {
		if (command.kind === 'reset') {
			this.#rollback(session);
		}

		if (command.kind !== 'query') {
			connection.reply(this.#completion(null));
			return;
		}

		const outcome = await this.#query(command.sql, session, connection.closed);
		await this.#thaw(connection);
		if (Either.isLeft(outcome)) {
			connection.fail(outcome.left);
		} else {
			connection.reply(outcome.right);
		}
	}

	#announce(sql: string): void {
		const begun = this.#expected.filter(({text}) => sql.startsWith(text));
		this.#expected = this.#expected.filter(expected => !begun.includes(expected));
		for (const {begin} of begun) {
			begin();
		}
	}

	async #query(sql: string, session: Session, closed: AbortSignal): Promise<errors.Outcome<types.Answer>> {
		const call = callPattern.exec(sql);
		if (call?.groups) {
			return this.#call(call.groups.name ?? '', call.groups.list ?? '', closed);
		}

		this.#announce(sql);
		// A statement that waits for the lock takes no slot, because the lock's holder needs one for its commit.
		const locked = writePattern.test(sql) ? await this.#lockWrites(session) : Either.right(undefined);
		if (Either.isLeft(locked)) {
			return locked;
		}

		const releaseSlot = await this.#slots.acquire(lockTimeoutMs);
		if (!releaseSlot) {
			if (!session.isInTransaction) {
				this.#rollback(session);
			}

			return Either.left(errors.database(this.#options.name, 'no free slot', codeLockTimeout));
		}

		// A statement that waits for a lock occupies no slot, else the holder of the lock could not go on.
		await this.#delay(this.#faults.serviceMs);
		releaseSlot();
		return this.#execute(sql, session);
	}

	async #execute(sql: string, session: Session): Promise<errors.Outcome<types.Answer>> {
		if (session.isEnded) {
			return this.#refuseWrite(session);
		}

		const word = /^\s*(?<word>\w+)/v.exec(sql)?.groups?.word?.toLowerCase() ?? '';
		switch (word) {
			case 'begin':
			case 'start': {
				return this.#begin(session);
			}

			case 'commit': {
				return this.#commit(session);
			}

			case 'rollback': {
				this.#rollback(session);
				return Either.right(this.#completion(null));
			}

			case 'set': {
				return Either.right(this.#completion(null));
			}

			default: {
				return writePattern.test(sql) ? this.#write(sql, session) : this.#read(sql, session);
			}
		}
	}

	/** Begins a transaction. As in MySQL, one that is open is committed first. */
	async #begin(session: Session): Promise<errors.Outcome<types.Answer>> {
		const committed = this.#commit(session);
		if (Either.isLeft(committed)) {
			return committed;
		}

		session.isInTransaction = true;
		session.term = this.#term;
		return Either.right(this.#completion(null));
	}

	#read(sql: string, session: Session): errors.Outcome<types.Answer> {
		return session.release ? this.#engine.execute(sql) : this.#engine.read(sql);
	}

	async #write(sql: string, session: Session): Promise<errors.Outcome<types.Answer>> {
		if (!this.#canWrite(session)) {
			return this.#refuseWrite(session);
		}

		const outcome = this.#engine.execute(sql);
		if (Either.isRight(outcome)) {
			session.writes.push(sql);
		}

		if (session.isInTransaction) {
			return outcome;
		}

		if (Either.isLeft(outcome)) {
			this.#rollback(session);
			return outcome;
		}

		const committed = this.#commit(session);
		return Either.isLeft(committed) ? committed : Either.right({...outcome.right, position: this.#log.last} as types.Answer);
	}

	async #lockWrites(session: Session): Promise<errors.Outcome<void>> {
		if (!session.isInTransaction) {
			session.term = this.#term;
		}

		if (!session.release && !session.isEnded) {
			session.release = await this.#writeLock.acquire(lockTimeoutMs);
			if (!session.release) {
				return Either.left(errors.database(this.#options.name, 'Lock wait timeout exceeded', codeLockTimeout));
			}

			this.#engine.begin();
		}

		return this.#canWrite(session) ? Either.right(undefined) : this.#refuseWrite(session);
	}

	#canWrite(session: Session): boolean {
		return this.#role === 'primary' && session.term === this.#term && !session.isEnded;
	}

	#refuseWrite(session: Session): errors.Outcome<never> {
		this.#rollback(session);
		return Either.left(errors.database(this.#options.name, 'the server is read-only', codeReadOnly));
	}

	#commit(session: Session): errors.Outcome<types.Answer> {
		if (session.writes.length === 0) {
			this.#rollback(session);
			return Either.right(this.#completion(null));
		}

		if (!this.#canWrite(session)) {
			return this.#refuseWrite(session);
		}

		const {writes} = session;
		this.#engine.commit(writes);
		this.#append(writes);
		this.#end(session);
		return Either.right(this.#completion(this.#log.last));
	}

	#rollback(session: Session): void {
		if (session.release) {
			this.#engine.rollback();
		}

		this.#end(session);
	}

	#end(session: Session): void {
		session.release?.();
		session.release = undefined;
		session.writes = [];
		session.isInTransaction = false;
	}

	#append(writes: readonly string[]): void {
		const entry = this.#log.append(this.#term, writes);
		this.#arrivals.set(entry.index, this.#clock.now());
		this.#appended.notify();
	}

	#completion(committed: types.Position | null): types.Completion {
		return {
			kind: 'ok', affectedRows: 0, insertId: 0, position: committed, server: this.#options.name,
		};
	}

	async #call(name: string, list: string, closed: AbortSignal): Promise<errors.Outcome<types.Answer>> {
		const values = list.split(',').map(part => part.trim().replaceAll(/^'|'$/gv, ''));
		const [first = '', second = '', third = ''] = values;
		switch (name.toLowerCase()) {
			case 'group_status': {
				return this.#document(this.status);
			}

			case 'group_adopt_term': {
				return this.#document({granted: this.#adopt(Number(first), second), status: this.status});
			}

			case 'group_promote': {
				return this.#document({granted: await this.#promote(Number(first), second), status: this.status});
			}

			case 'group_follow': {
				return this.#document({granted: this.#follow(first, Number(second)), status: this.status});
			}

			case 'group_wait': {
				await this.#waitFor({term: Number(first), index: Number(second)}, Number(third), closed);
				return this.#document(this.status);
			}

			case 'standin_entries': {
				return this.#pull(Number(first), Number(second), closed);
			}

			case 'standin_log': {
				return this.#document(this.#log.entries);
			}

			case 'standin_set': {
				this.set({[first]: second === 'true' || second === 'false' ? second === 'true' : Number(second)});
				return this.#document(this.#faults);
			}

			default: {
				return Either.left(errors.database(this.#options.name, `unknown procedure ${name}`, codeSyntax));
			}
		}
	}

	#document(content: unknown): errors.Outcome<types.Answer> {
		return Either.right({
			kind: 'rows', columns: [engine.column('status')], rows: [[JSON.stringify(content)]], server: this.#options.name,
		});
	}

	#adopt(term: number, claimant: string): boolean {
		if (term === this.#term) {
			return claimant !== '' && claimant === this.#claimant;
		}

		if (term < this.#term) {
			return false;
		}

		this.#enter(term, claimant);
		return true;
	}

	#enter(term: number, claimant: string): void {
		this.#servedTerm = this.#role === 'primary' ? this.#term : 0;
		this.#term = term;
		this.#claimant = claimant;
		this.#role = 'replica';
		this.#following = '';
		this.#endTransactions();
	}

	/** An open transaction would hold the write lock against replication and promotion until its client's next statement. */
	#endTransactions(): void {
		for (const [connection, session] of this.#sessions) {
			if (session.release) {
				this.#rollback(session);
				session.isEnded = true;
				connection.close();
			}
		}
	}

	async #promote(term: number, claimant: string): Promise<boolean> {
		if (term !== this.#term || claimant !== this.#claimant) {
			return false;
		}

		if (this.#role !== 'primary') {
			// An open transaction of an older term ends before the first entry of this one.
			const release = await this.#writeLock.acquire(lockTimeoutMs);
			if (!release || this.#claimant !== claimant || this.#term !== term) {
				release?.();
				return false;
			}

			release();
			// A repeated call may have waited for the lock together with the first.
			if (!this.#isPrimary()) {
				this.#role = 'primary';
				this.#servedTerm = 0;
				this.#following = '';
				this.#append([]);
			}
		}

		return true;
	}

	#isPrimary(): boolean {
		return this.#role === 'primary';
	}

	#follow(primary: string, term: number): boolean {
		if (term < this.#term || (term === this.#term && this.#role === 'primary') || primary === this.#options.name) {
			return false;
		}

		if (term > this.#term) {
			this.#enter(term, '');
		}

		this.#servedTerm = 0;
		this.#following = primary;
		return true;
	}

	async #waitFor(wanted: types.Position, waitMs: number, closed: AbortSignal): Promise<void> {
		const end = this.#clock.now() + waitMs;
		while (position.relate(this.status, wanted) === 'behind' && this.#clock.now() < end && !closed.aborted) {
			await this.#clock.limit(this.#appended.next(), end - this.#clock.now());
		}
	}

	/** Entries after `index` for a follower of `term`, once there are any or after a short wait. */
	async #pull(index: number, term: number, closed: AbortSignal): Promise<errors.Outcome<types.Answer>> {
		if (this.#log.last.index <= index && !closed.aborted) {
			await this.#clock.limit(this.#appended.next(), replicationWaitMs);
		}

		const isSource = (this.#isPrimary() && term === this.#term) || (term > 0 && term === this.#servedTerm);
		const due = this.#clock.now();
		const entries = this.#log.entries.slice(index, index + entriesPerPull)
			.map(entry => ({...entry, ageMs: due - (this.#arrivals.get(entry.index) ?? 0)}));
		return this.#document({
			isSource, entries: isSource ? entries : [], history: this.#log.history, last: this.#log.last.index,
		});
	}

	/** Pulls entries from the server that this one follows, one connection at a time. */
	async #replicate(): Promise<void> {
		while (!this.#stopped.signal.aborted) {
			const source = this.#options.peers.get(this.#following);
			const connection = source && !this.#faults.isCut ? await this.#connectTo(this.#following, source) : undefined;
			if (connection) {
				await this.#pullFrom(connection, this.#following);
				connection.close();
			}

			await this.#clock.sleep(freezePollMs * 2, this.#stopped.signal);
		}
	}

	async #connectTo(name: string, {host, port}: {host: string; port: number}) {
		const target = new client.Server({
			name, place: '', host, port, user: replicationUser, password: this.#options.password,
		});
		const outcome = await target.connect(replicationTimeoutMs);
		return Either.isRight(outcome) ? outcome.right : undefined;
	}

	async #pullFrom(connection: {execute: client.Connection['execute']}, source: string): Promise<void> {
		while (this.#following === source && !this.#stopped.signal.aborted && !this.#faults.isCut) {
			const {term} = this.status;
			const sql = `CALL standin_entries(${this.#log.last.index}, ${term})`;
			const outcome = await connection.execute(sql, replicationTimeoutMs);
			if (Either.isLeft(outcome) || outcome.right.kind !== 'rows') {
				return;
			}

			const page = JSON.parse(String(outcome.right.rows[0]?.[0])) as Page;
			if (!page.isSource) {
				return;
			}

			await this.#thawReplication();
			await this.#takePage(page, term, source);
		}
	}

	/** A frozen server applies nothing, and a server that is cut off receives nothing. */
	async #thawReplication(): Promise<void> {
		while (this.#faults.isFrozen && !this.#stopped.signal.aborted) {
			await this.#clock.sleep(freezePollMs, this.#stopped.signal);
		}
	}

	async #takePage(page: Page, term: number, source: string): Promise<void> {
		const common = this.#log.commonIndex(page.history, page.last);
		if (common < this.#log.last.index && this.#follows(term, source)) {
			await this.#rebuild(common, term, source);
			return;
		}

		const receivedAt = this.#clock.now();
		for (const entry of page.entries) {
			const ageMs = entry.ageMs + this.#clock.now() - receivedAt;
			await this.#delay(this.#faults.lagMs - ageMs);
			const release = await this.#writeLock.acquire(lockTimeoutMs);
			if (!release || !this.#follows(term, source) || entry.index !== this.#log.last.index + 1) {
				release?.();
				return;
			}

			this.#engine.apply(entry.writes);
			this.#log.add({term: entry.term, index: entry.index, writes: entry.writes});
			this.#arrivals.set(entry.index, this.#clock.now());
			this.#appended.notify();
			release();
		}
	}

	#follows(term: number, source: string): boolean {
		return this.#term === term && this.#following === source && this.#role === 'replica';
	}

	/** Drops entries that the primary does not hold; SQLite can't undo them, so the rest is applied again. */
	async #rebuild(index: number, term: number, source: string): Promise<void> {
		const release = await this.#writeLock.acquire(lockTimeoutMs);
		if (release && this.#follows(term, source)) {
			this.#dropped.push([...this.#log.entries]);
			this.#log.truncate(index);
			this.#engine.clear();
			this.#engine.apply(this.#options.schema);
			for (const entry of this.#log.entries) {
				this.#engine.apply(entry.writes);
			}
		}

		release?.();
	}
}

type Page = {
	readonly isSource: boolean;
	readonly entries: ReadonlyArray<log.Entry & {readonly ageMs: number}>;
	readonly history: position.History;
	readonly last: number;
};
