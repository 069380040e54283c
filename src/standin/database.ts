/**
A stand-in for one server of a database group. It speaks the MySQL protocol, executes SQL with SQLite, keeps a log
with terms and replicates asynchronously. `CALL standin_set(name, value)` injects faults.
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
import * as semaphore from './semaphore.js';
import * as log from './log.js';

/** Configuration of a stand-in server. */
export type Options = {
	readonly name: string;
	readonly host: string;
	readonly port: number;
	/** Addresses of the other servers of the group, by name. */
	readonly peers: ReadonlyMap<string, {readonly host: string; readonly port: number}>;
	readonly connectionLimit: number;
	/** Maximum number of statements that are executed concurrently. */
	readonly slots: number;
	/** Delay between the login and the first command of a connection. */
	readonly connectMs: number;
	/** Execution time of each statement. */
	readonly serviceMs: number;
	/** Time from the source's append of an entry to its replication on this server. */
	readonly lagMs: number;
	/** Whether the server starts as primary of term 1. */
	readonly isPrimary: boolean;
	/** Statements executed before the first log entry; identical on all servers of the group. */
	readonly schema: readonly string[];
	readonly password: string;
};

/** Settings that `standin_set` changes by name while the server runs. */
type Faults = {lagMs: number; serviceMs: number; isFrozen: boolean; isCut: boolean; isLeaving: boolean};

type Session = {
	/** Data-changing statements of the open transaction. */
	writes: string[];
	isInTransaction: boolean;
	/** The term in which the transaction began. */
	term: number;
	releaseLock: (() => void) | undefined;
	/** Set when a newer term aborts the open transaction. The connection is closed and executes nothing more. */
	isAborted: boolean;
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
const maxEntriesPerPage = 500;

const writePattern = /^\s*(?:insert|update|delete|replace|create|drop|alter)\b/iv;
const callPattern = /^\s*call\s+(?<name>\w+)\s*\((?<list>.*)\)\s*;?\s*$/isv;

/** A stand-in server that is a member of a database group. */
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
	readonly #writeLock = new semaphore.Semaphore(1);
	readonly #slots: semaphore.Semaphore;
	readonly #listener: server.Server<string>;
	readonly #faults: Faults;
	readonly #stopped = new AbortController();
	readonly #connections = new Set<server.Connection>();
	readonly #sessions = new Map<server.Connection, Session>();
	readonly #appended = new notifier.Notifier();
	readonly #arrivalTimes = new Map<number, number>();
	readonly #truncatedLogs: log.Entry[][] = [];
	#statementWaiters: Array<{readonly prefix: string; readonly resolve: () => void}> = [];
	#role: types.Role;
	#term: number;
	#claimant = '';
	/** Term in which this server was primary until it adopted the current one, and whose followers may still fetch its log; 0 if none. */
	#formerPrimaryTerm = 0;
	#following = '';
	#port = 0;

	private constructor(options: Options, sqlEngine: engine.Engine) {
		super();
		this.#options = options;
		this.#engine = sqlEngine;
		this.#slots = new semaphore.Semaphore(options.slots);
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

	/** The log's entries, which tests compare with the answers to callers. */
	get entries(): readonly log.Entry[] {
		return this.#log.entries;
	}

	/** The complete log before each truncation. A truncation drops entries that the primary does not have. */
	get truncatedLogs(): ReadonlyArray<readonly log.Entry[]> {
		return this.#truncatedLogs;
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

	/** Time at which the log received the entry with this index, in ms of the process's monotonic clock. */
	arrivedAt(index: number): number | undefined {
		return this.#arrivalTimes.get(index);
	}

	/** Changes settings. Setting `isCut` also closes the open connections. */
	set(change: Partial<Faults>): void {
		Object.assign(this.#faults, change);
		if (change.isCut) {
			this.disconnect();
		}
	}

	/** Simulates a restart: term and log are kept, role and connections are lost. */
	restart(): void {
		this.#role = 'replica';
		this.#formerPrimaryTerm = 0;
		this.#abortTransactions();
		this.disconnect();
	}

	/** Resolves when the server next receives a statement that starts with `text`. */
	async awaitStatement(text: string): Promise<void> {
		return new Promise(resolve => {
			this.#statementWaiters.push({prefix: text, resolve});
		});
	}

	/** Closes every open connection. */
	disconnect(): void {
		for (const connection of this.#connections) {
			connection.close();
		}
	}

	stop(): void {
		this.#stopped.abort();
		this.#listener.close();
		this.disconnect();
	}

	/** Makes a replica follow `primary` without a change of term. Used to set up a group. */
	replicateFrom(primary: string): void {
		this.#following = primary;
	}

	override findAccount(user: string): errors.Outcome<{account: string; passwordHash: string}> {
		const isLimited = user !== replicationUser;
		if (isLimited && this.#connections.size >= this.#options.connectionLimit) {
			return Either.left(errors.database(this.#options.name, 'Too many connections', codeTooManyConnections));
		}

		return Either.right({account: user, passwordHash: server.hashPassword(this.#options.password)});
	}

	override async serve(connection: server.Connection, user: string): Promise<void> {
		if (user !== replicationUser) {
			this.#connections.add(connection);
		}

		const session: Session = {
			writes: [], isInTransaction: false, term: 0, releaseLock: undefined, isAborted: false,
		};
		this.#sessions.set(connection, session);
		await this.#clock.sleep(this.#options.connectMs, connection.closed);
		try {
			for (let command = await connection.next(); command; command = await connection.next()) {
				await this.#waitWhileUnresponsive(connection);
				await this.#handle(connection, command, session);
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

	/** Sleeps only if `ms` is positive: a timer of 0 ms takes 1 ms, which limited replication to 900 entries a second. */
	async #delay(ms: number): Promise<void> {
		if (ms > 0) {
			await this.#clock.sleep(ms, this.#stopped.signal);
		}
	}

	async #waitWhileUnresponsive(connection: server.Connection): Promise<void> {
		while ((this.#faults.isFrozen || this.#faults.isCut) && !connection.closed.aborted) {
			await this.#clock.sleep(freezePollMs, connection.closed);
		}
	}

	async #handle(connection: server.Connection, command: server.Command, session: Session): Promise<void> {
		if (command.kind === 'reset') {
			this.#rollback(session);
		}

		if (command.kind !== 'query') {
			connection.reply(this.#completion(null));
			return;
		}

		const outcome = await this.#query(command.sql, session, connection.closed);
		await this.#waitWhileUnresponsive(connection);
		if (Either.isLeft(outcome)) {
			connection.fail(outcome.left);
		} else {
			connection.reply(outcome.right);
		}
	}

	#notifyStatementWaiters(sql: string): void {
		const matching = this.#statementWaiters.filter(({prefix}) => sql.startsWith(prefix));
		this.#statementWaiters = this.#statementWaiters.filter(waiter => !matching.includes(waiter));
		for (const {resolve} of matching) {
			resolve();
		}
	}

	async #query(sql: string, session: Session, closed: AbortSignal): Promise<errors.Outcome<types.Answer>> {
		const call = callPattern.exec(sql);
		if (call?.groups) {
			return this.#callProcedure(call.groups.name ?? '', call.groups.list ?? '', closed);
		}

		this.#notifyStatementWaiters(sql);
		// Acquires the lock before a slot: otherwise waiting statements could use up the slots that the lock's holder needs.
		const lockOutcome = writePattern.test(sql) ? await this.#lockWrites(session) : Either.right(undefined);
		if (Either.isLeft(lockOutcome)) {
			return lockOutcome;
		}

		const releaseSlot = await this.#slots.acquire(lockTimeoutMs);
		if (!releaseSlot) {
			if (!session.isInTransaction) {
				this.#rollback(session);
			}

			return Either.left(errors.database(this.#options.name, 'no free slot', codeLockTimeout));
		}

		await this.#delay(this.#faults.serviceMs);
		releaseSlot();
		return this.#execute(sql, session);
	}

	async #execute(sql: string, session: Session): Promise<errors.Outcome<types.Answer>> {
		if (session.isAborted) {
			return this.#refuseWrite(session);
		}

		const keyword = /^\s*(?<word>\w+)/v.exec(sql)?.groups?.word?.toLowerCase() ?? '';
		switch (keyword) {
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

	/** Begins a transaction. As in MySQL, this commits an open one first. */
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
		return session.releaseLock ? this.#engine.execute(sql) : this.#engine.read(sql);
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

		if (!session.releaseLock && !session.isAborted) {
			session.releaseLock = await this.#writeLock.acquire(lockTimeoutMs);
			if (!session.releaseLock) {
				return Either.left(errors.database(this.#options.name, 'Lock wait timeout exceeded', codeLockTimeout));
			}

			this.#engine.begin();
		}

		return this.#canWrite(session) ? Either.right(undefined) : this.#refuseWrite(session);
	}

	#canWrite(session: Session): boolean {
		return this.#role === 'primary' && session.term === this.#term && !session.isAborted;
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
		this.#clearTransaction(session);
		return Either.right(this.#completion(this.#log.last));
	}

	#rollback(session: Session): void {
		if (session.releaseLock) {
			this.#engine.rollback();
		}

		this.#clearTransaction(session);
	}

	#clearTransaction(session: Session): void {
		session.releaseLock?.();
		session.releaseLock = undefined;
		session.writes = [];
		session.isInTransaction = false;
	}

	#append(writes: readonly string[]): void {
		const entry = this.#log.append(this.#term, writes);
		this.#arrivalTimes.set(entry.index, this.#clock.now());
		this.#appended.notify();
	}

	#completion(committed: types.Position | null): types.Completion {
		return {
			kind: 'ok', affectedRows: 0, insertId: 0, position: committed, server: this.#options.name,
		};
	}

	async #callProcedure(name: string, argumentList: string, closed: AbortSignal): Promise<errors.Outcome<types.Answer>> {
		const parameters = argumentList.split(',').map(part => part.trim().replaceAll(/^'|'$/gv, ''));
		const [first = '', second = '', third = ''] = parameters;
		switch (name.toLowerCase()) {
			case 'group_status': {
				return this.#jsonRow(this.status);
			}

			case 'group_adopt_term': {
				return this.#jsonRow({granted: this.#adoptTerm(Number(first), second), status: this.status});
			}

			case 'group_promote': {
				return this.#jsonRow({granted: await this.#promote(Number(first), second), status: this.status});
			}

			case 'group_follow': {
				return this.#jsonRow({granted: this.#follow(first, Number(second)), status: this.status});
			}

			case 'group_wait': {
				await this.#awaitPosition({term: Number(first), index: Number(second)}, Number(third), closed);
				return this.#jsonRow(this.status);
			}

			case 'standin_entries': {
				return this.#serveEntries(Number(first), Number(second), closed);
			}

			case 'standin_log': {
				return this.#jsonRow(this.#log.entries);
			}

			case 'standin_set': {
				this.set({[first]: second === 'true' || second === 'false' ? second === 'true' : Number(second)});
				return this.#jsonRow(this.#faults);
			}

			default: {
				return Either.left(errors.database(this.#options.name, `unknown procedure ${name}`, codeSyntax));
			}
		}
	}

	#jsonRow(content: unknown): errors.Outcome<types.Answer> {
		return Either.right({
			kind: 'rows', columns: [engine.column('status')], rows: [[JSON.stringify(content)]], server: this.#options.name,
		});
	}

	#adoptTerm(term: number, claimant: string): boolean {
		if (term === this.#term) {
			return claimant !== '' && claimant === this.#claimant;
		}

		if (term < this.#term) {
			return false;
		}

		this.#startTerm(term, claimant);
		return true;
	}

	#startTerm(term: number, claimant: string): void {
		this.#formerPrimaryTerm = this.#role === 'primary' ? this.#term : 0;
		this.#term = term;
		this.#claimant = claimant;
		this.#role = 'replica';
		this.#following = '';
		this.#abortTransactions();
	}

	/** Aborts open transactions, whose write lock would block replication and promotion until the client's next statement. */
	#abortTransactions(): void {
		for (const [connection, session] of this.#sessions) {
			if (session.releaseLock) {
				this.#rollback(session);
				session.isAborted = true;
				connection.close();
			}
		}
	}

	async #promote(term: number, claimant: string): Promise<boolean> {
		if (term !== this.#term || claimant !== this.#claimant) {
			return false;
		}

		if (this.#role !== 'primary') {
			// Waits until no transaction of an older term is open before it appends the first entry of this term.
			const release = await this.#writeLock.acquire(lockTimeoutMs);
			if (!release || this.#claimant !== claimant || this.#term !== term) {
				release?.();
				return false;
			}

			release();
			// A repeated call may have waited for the lock concurrently and promoted the server already.
			if (!this.#isPrimary()) {
				this.#role = 'primary';
				this.#formerPrimaryTerm = 0;
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
			this.#startTerm(term, '');
		}

		this.#formerPrimaryTerm = 0;
		this.#following = primary;
		return true;
	}

	async #awaitPosition(target: types.Position, timeoutMs: number, closed: AbortSignal): Promise<void> {
		const end = this.#clock.now() + timeoutMs;
		while (position.relate(this.status, target) === 'behind' && this.#clock.now() < end && !closed.aborted) {
			await this.#clock.limit(this.#appended.next(), end - this.#clock.now());
		}
	}

	/** Returns entries after `index` to a follower of `term`. Waits up to `replicationWaitMs` for the first one. */
	async #serveEntries(index: number, term: number, closed: AbortSignal): Promise<errors.Outcome<types.Answer>> {
		if (this.#log.last.index <= index && !closed.aborted) {
			await this.#clock.limit(this.#appended.next(), replicationWaitMs);
		}

		const isSource = (this.#isPrimary() && term === this.#term) || (term > 0 && term === this.#formerPrimaryTerm);
		const now = this.#clock.now();
		const entries = this.#log.entries.slice(index, index + maxEntriesPerPage)
			.map(entry => ({...entry, ageMs: now - (this.#arrivalTimes.get(entry.index) ?? 0)}));
		return this.#jsonRow({
			isSource, entries: isSource ? entries : [], history: this.#log.history, last: this.#log.last.index,
		});
	}

	/** Fetches entries from the followed server, over one connection at a time. */
	async #replicate(): Promise<void> {
		while (!this.#stopped.signal.aborted) {
			const source = this.#options.peers.get(this.#following);
			const connection = source && !this.#faults.isCut ? await this.#connectTo(this.#following, source) : undefined;
			if (connection) {
				await this.#fetchEntries(connection, this.#following);
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

	async #fetchEntries(connection: {execute: client.Connection['execute']}, source: string): Promise<void> {
		while (this.#following === source && !this.#stopped.signal.aborted && !this.#faults.isCut) {
			const {term} = this.status;
			const sql = `CALL standin_entries(${this.#log.last.index}, ${term})`;
			const outcome = await connection.execute(sql, replicationTimeoutMs);
			if (Either.isLeft(outcome) || outcome.right.kind !== 'rows') {
				return;
			}

			const page = JSON.parse(String(outcome.right.rows[0]?.[0])) as LogPage;
			if (!page.isSource) {
				return;
			}

			await this.#waitWhileFrozen();
			await this.#applyPage(page, term, source);
		}
	}

	/** Blocks replication while the server is frozen. A server that is cut off ends its replication connection instead. */
	async #waitWhileFrozen(): Promise<void> {
		while (this.#faults.isFrozen && !this.#stopped.signal.aborted) {
			await this.#clock.sleep(freezePollMs, this.#stopped.signal);
		}
	}

	async #applyPage(page: LogPage, term: number, source: string): Promise<void> {
		const commonIndex = this.#log.commonIndex(page.history, page.last);
		if (commonIndex < this.#log.last.index && this.#isFollowing(term, source)) {
			await this.#truncate(commonIndex, term, source);
			return;
		}

		const receivedAt = this.#clock.now();
		for (const entry of page.entries) {
			const ageMs = entry.ageMs + this.#clock.now() - receivedAt;
			await this.#delay(this.#faults.lagMs - ageMs);
			const release = await this.#writeLock.acquire(lockTimeoutMs);
			if (!release || !this.#isFollowing(term, source) || entry.index !== this.#log.last.index + 1) {
				release?.();
				return;
			}

			this.#engine.apply(entry.writes);
			this.#log.add({term: entry.term, index: entry.index, writes: entry.writes});
			this.#arrivalTimes.set(entry.index, this.#clock.now());
			this.#appended.notify();
			release();
		}
	}

	#isFollowing(term: number, source: string): boolean {
		return this.#term === term && this.#following === source && this.#role === 'replica';
	}

	/** Drops entries that the primary does not have. SQLite can't undo them, so the remaining entries are applied again. */
	async #truncate(lastIndex: number, term: number, source: string): Promise<void> {
		const release = await this.#writeLock.acquire(lockTimeoutMs);
		if (release && this.#isFollowing(term, source)) {
			this.#truncatedLogs.push([...this.#log.entries]);
			this.#log.truncate(lastIndex);
			this.#engine.clear();
			this.#engine.apply(this.#options.schema);
			for (const entry of this.#log.entries) {
				this.#engine.apply(entry.writes);
			}
		}

		release?.();
	}
}

type LogPage = {
	readonly isSource: boolean;
	readonly entries: ReadonlyArray<log.Entry & {readonly ageMs: number}>;
	readonly history: position.History;
	readonly last: number;
};
