/**
Commands for model-based testing with fast-check: sessions read, write and switch entry hosts while servers lag and
links fail. A command starts its request without waiting for it, so requests of different sessions overlap. Requests of
the same session run one after another.
*/
import * as performanceHooks from 'node:perf_hooks';
import type * as fc from 'fast-check';
import * as Either from 'fp-ts/lib/Either.js';
import type * as mysql from 'mysql2/promise';
import * as clock from '../core/clock.js';
import * as position from '../core/position.js';
import * as client from '../mysql/client.js';
import * as deployment from './deployment.js';
import type * as log from './log.js';
import * as oracle from './oracle.js';
import type * as relay from './relay.js';

/** The state by which fast-check decides whether a command applies. */
export type Model = {
	/** Number of request ids in use. */
	ids: number;
	/** Changes of primary so far; limited to two, so that a case ends in time. */
	replacements: number;
};

/** Consistency of a read. `session`: includes the session's own writes. `aged`: data up to a stated age. */
export type Freshness = 'strict' | 'session' | 'aged';

/** How a transaction ends. `vanish`: the caller closes the connection without a COMMIT or ROLLBACK. */
export type TransactionEnd = 'commit' | 'rollback' | 'vanish';

type Session = {
	connection: mysql.Connection;
	host: number;
	/** Marks of the session's acknowledged writes, up to the position that it carries. */
	ownMarks: string[];
	lastTask: Promise<void>;
};

const hostPlaces = ['puget-a', 'willamette-a', 'inland-a'];
const sessionCount = 4;
const convergeTimeoutMs = 8000;
const pollMs = 10;
const callTimeoutMs = 1000;
/** Quota of an entry host at each server: a quarter of the server's 16 connections. */
const connectionQuota = 4;
/** Connections for a change of primary, which are taken from the last quarter of the limit (design.md, 3.9). */
const controlConnections = 1;

const classes = [
	'[service.ledgers.class.strict]\nkind = read\ndeadlineMs = 800',
	'[service.ledgers.class.session]\nkind = read\nfreshness = session\ndeadlineMs = 800',
	'[service.ledgers.class.aged]\nkind = read\ndeadlineMs = 800',
	'[service.ledgers.class.pay]\nkind = write\ndeadlineMs = 800',
	'[service.ledgers.class.slow]\nkind = write\ndeadlineMs = 2000',
	'[service.ledgers.class.touch]\nkind = write\nidempotent = true\ndeadlineMs = 800',
].join('\n');

/** A deployment with callers' sessions, and the recorded answers to them. */
export class Site {
	static async start(lagMs = 0): Promise<Site> {
		const running = await deployment.Deployment.start({
			lagMs,
			places: hostPlaces,
			hosts: hostPlaces,
			schema: oracle.schema,
			classes,
			timing: 'probeIntervalMs = 50\nprobeTimeoutMs = 200',
			linkMs: () => 0,
		});
		const site = new Site(running);
		for (let index = 0; index < sessionCount; index++) {
			site.#sessions.push({
				connection: await running.connect(index % hostPlaces.length), host: index % hostPlaces.length, ownMarks: [], lastTask: Promise.resolve(),
			});
		}

		return site;
	}

	readonly deployment: deployment.Deployment;
	readonly reads: oracle.Read[] = [];
	readonly writes: oracle.Write[] = [];
	readonly #sessions: Session[] = [];
	readonly #clock = new clock.System();
	readonly #acknowledgedMarks: string[] = [];
	/** Former primary that was replaced without being notified; empty if none. */
	#isolatedPrimary = '';
	/** Delay of the process's event loop, in ns. */
	readonly #eventLoopDelay = performanceHooks.monitorEventLoopDelay({resolution: 10});
	#lastMarkNumber = 0;

	private constructor(running: deployment.Deployment) {
		this.deployment = running;
		this.#eventLoopDelay.enable();
	}

	/** Runs a task after the previous tasks of the same session. */
	enqueue(index: number, task: (session: Session) => Promise<void>): void {
		const session = this.#sessions[index];
		const previous = session.lastTask;
		session.lastTask = (async () => {
			await previous;
			await task(session);
		})();
	}

	/** Creates a unique mark. */
	createMark(prefix: string): string {
		this.#lastMarkNumber++;
		return `${prefix}${this.#lastMarkNumber}`;
	}

	async read(session: Session, freshness: Freshness, maxAgeMs: number): Promise<void> {
		const tag = this.createMark('r');
		const requiredMarks = [...(freshness === 'strict' ? this.#acknowledgedMarks : session.ownMarks)];
		const ageDirective = freshness === 'aged' ? ` age=${maxAgeMs}ms` : '';
		const [outcome, content] = await this.#query(session, `/* sycamorering class=${freshness}${ageDirective} */ SELECT '${tag}' AS tag, mark FROM ledger ORDER BY entry`);
		if (outcome === 'ok') {
			const rows = (content as Array<{tag: string; mark: string}>).map(row => [row.tag, row.mark] as const);
			this.reads.push({
				tag, requiredMarks, rows, maxAgeMs: freshness === 'aged' ? maxAgeMs : undefined, endedAt: this.#clock.now(),
			});
		}
	}

	async write(session: Session, requestId: string, isIdempotent: boolean): Promise<void> {
		const mark = this.createMark('w');
		const id = requestId === '' ? '' : ` request=${requestId}`;
		const [outcome, content] = await this.#query(session, `/* sycamorering class=${isIdempotent ? 'touch' : 'pay'}${id} */ ${insert(mark)}`);
		const insertId = outcome === 'ok' ? (content as {insertId: number}).insertId : 0;
		this.writes.push({
			marks: [mark], requestId, isIdempotent, outcome, insertId,
		});
		// The answer to a repeated request may be that of its first execution, which inserted a different mark.
		if (outcome === 'ok' && requestId === '') {
			this.#acknowledgedMarks.push(mark);
			session.ownMarks.push(mark);
		}
	}

	async runTransaction(session: Session, statements: number, end: TransactionEnd): Promise<void> {
		const marks = Array.from({length: statements}, () => this.createMark('t'));
		const sqlStatements = ['BEGIN', ...marks.map(mark => insert(mark)), end === 'commit' ? 'COMMIT' : 'ROLLBACK'];
		let outcome: oracle.Outcome = 'vanished';
		for (const text of end === 'vanish' ? sqlStatements.slice(0, -1) : sqlStatements) {
			[outcome] = await this.#query(session, `/* sycamorering class=pay */ ${text}`);
			if (outcome !== 'ok') {
				await this.#query(session, 'ROLLBACK');
				break;
			}
		}

		if (end === 'vanish') {
			session.connection.destroy();
			await this.#connect(session, session.host);
		}

		const isCommitted = end === 'commit' && outcome === 'ok';
		this.writes.push({
			marks, requestId: '', isIdempotent: false, outcome: end === 'commit' ? outcome : 'vanished', insertId: 0,
		});
		if (isCommitted) {
			this.#acknowledgedMarks.push(...marks);
			session.ownMarks.push(...marks);
		}
	}

	async switchHost(session: Session, host: number, keepsPosition: boolean): Promise<void> {
		const carriedPosition = await readPosition(session.connection);
		session.connection.destroy();
		await this.#connect(session, host);
		if (keepsPosition && carriedPosition) {
			await this.#query(session, `SET @sycamorering_position = '${carriedPosition}'`);
		} else {
			session.ownMarks = [];
		}
	}

	/** Promotes another server in a new term. With `isolatesOld`, the former primary is not notified before `settle`. */
	async replacePrimary(isolatesOld: boolean): Promise<void> {
		const statuses = [...this.deployment.group.servers.values()].map(({status}) => status);
		const term = Math.max(...statuses.map(status => status.term)) + 1;
		const oldPrimary = statuses.find(status => status.role === 'primary')?.server ?? '';
		const targets = statuses.filter(({server}) => server !== oldPrimary || !isolatesOld).map(({server}) => server);
		const claimant = `fuzz-${term}`;
		const grants = await Promise.all(targets.map(async server => this.#call(server, async connection => connection.adoptTerm(term, claimant, callTimeoutMs))));
		const granted = grants.filter(grant => grant?.granted).map(grant => grant!.status);
		const candidate = granted.filter(({server}) => server !== oldPrimary).toSorted((left, right) => position.compare(right.last, left.last))[0];
		const hasLatestLog = candidate !== undefined && granted.every(({last}) => position.compare(last, candidate.last) <= 0);
		const newPrimary = hasLatestLog ? candidate.server : oldPrimary;
		if (granted.length < 2 || !targets.includes(newPrimary)) {
			return;
		}

		await this.#call(newPrimary, async connection => connection.promote(term, claimant, callTimeoutMs));
		this.#isolatedPrimary = isolatesOld ? oldPrimary : '';
		await this.#follow(newPrimary, term, targets);
	}

	/**
	Resets delays, refusals and lag, waits until all requests have ended, closes the connections of all relays, and waits
	until the replicas have the primary's log.
	*/
	async settle(): Promise<void> {
		for (const link of this.deployment.relays.values()) {
			link.set({delayMs: 0, isRefusing: false});
		}

		for (const server of this.deployment.group.servers.values()) {
			server.set({lagMs: 0, serviceMs: 0});
		}

		await Promise.all(this.#sessions.map(async session => session.lastTask));
		for (const link of this.deployment.relays.values()) {
			link.cut();
		}

		const end = this.#clock.now() + convergeTimeoutMs;
		while (!await this.#converge()) {
			if (this.#clock.now() > end) {
				throw new Error('the replicas did not catch up with the primary in time');
			}

			await this.#clock.sleep(pollMs);
		}
	}

	/** The log of the primary with the highest term. */
	finalLog(): readonly log.Entry[] {
		const servers = [...this.deployment.group.servers.values()];
		const primary = servers.filter(({status}) => status.role === 'primary').toSorted((left, right) => right.status.term - left.status.term)[0];
		return primary?.entries ?? [];
	}

	/** Checks the recorded answers against the servers' current logs, and the connection counts. Returns the violations. */
	check(): string[] {
		const servers = [...this.deployment.group.servers.values()];
		const committed = new Map<string, number>();
		for (const server of servers) {
			for (const {term, index} of server.entries) {
				const key = position.format({term, index});
				committed.set(key, Math.min(committed.get(key) ?? Number.POSITIVE_INFINITY, server.arrivedAt(index) ?? Number.POSITIVE_INFINITY));
			}
		}

		const violations = oracle.check(this.reads, this.writes, {
			finalLog: this.finalLog(),
			maxStallMs: this.#eventLoopDelay.max / 1e6,
			logs: [...servers.map(({entries}) => entries), ...servers.flatMap(({truncatedLogs}) => truncatedLogs)],
			committedAt: entry => committed.get(position.format(entry)) ?? Number.POSITIVE_INFINITY,
		});
		return [...violations, ...this.checkConnections()];
	}

	/** Violations by entry hosts that opened more connections to a server than their quota and `controlConnections`. */
	checkConnections(): string[] {
		return [...this.deployment.relays].filter(([, {maxOpenCount}]) => maxOpenCount > connectionQuota + controlConnections)
			.map(([name, {maxOpenCount}]) => `connections: ${name} had ${maxOpenCount} open, more than its quota and control connections`);
	}

	async stop(): Promise<void> {
		this.#eventLoopDelay.disable();
		for (const {connection} of this.#sessions) {
			connection.destroy();
		}

		await this.deployment.stop();
	}

	async pause(ms: number): Promise<void> {
		await this.#clock.sleep(ms);
	}

	async #converge(): Promise<boolean> {
		const statuses = [...this.deployment.group.servers.values()].map(({status}) => status);
		const primary = statuses.filter(({role}) => role === 'primary').toSorted((left, right) => right.term - left.term)[0];
		if (!primary) {
			return false;
		}

		await this.#follow(primary.server, primary.term, statuses.filter(status => status.following !== primary.server).map(({server}) => server));
		this.#isolatedPrimary = '';
		return statuses.every(({last}) => position.compare(last, primary.last) === 0);
	}

	async #follow(primary: string, term: number, servers: readonly string[]): Promise<void> {
		await Promise.all(servers.filter(server => server !== primary && server !== this.#isolatedPrimary)
			.map(async server => this.#call(server, async connection => connection.follow(primary, term, callTimeoutMs))));
	}

	async #call<T>(name: string, task: (connection: client.Connection) => Promise<Either.Either<unknown, T>>): Promise<T | undefined> {
		const target = new client.Server({
			name, place: '', host: '127.0.0.1', port: this.deployment.group.server(name).port, user: 'replication', password: '',
		});
		const opened = await target.connect(callTimeoutMs);
		if (Either.isLeft(opened)) {
			return undefined;
		}

		const outcome = await task(opened.right as client.Connection);
		opened.right.close();
		return Either.isRight(outcome) ? outcome.right : undefined;
	}

	async #connect(session: Session, host: number): Promise<void> {
		session.connection = await this.deployment.connect(host);
		session.host = host;
	}

	async #query(session: Session, sql: string): Promise<[oracle.Outcome, unknown]> {
		try {
			const [content] = await session.connection.query(sql);
			return ['ok', content];
		} catch (error) {
			const kind = /^(?<kind>not-run|outcome-unknown|position-lost|directive|denied):/v.exec((error as Error).message)?.groups?.kind;
			if (kind === 'directive' || kind === 'denied') {
				throw error;
			}

			return [(kind as oracle.Outcome | undefined) ?? 'database', undefined];
		}
	}
}

/** Reads the session's position; null if it has none. */
export async function readPosition(connection: mysql.Connection): Promise<string | null> {
	const name = '@@sycamorering_position';
	const [rows] = await connection.query(`SELECT ${name}`);
	return (rows as Array<Record<string, string | null>>)[0]?.[name] ?? null;
}

function insert(mark: string): string {
	return `INSERT INTO ledger (mark) VALUES ('${mark}')`;
}

/** One step of a test case. */
abstract class Command implements fc.AsyncCommand<Model, Site> {
	check(_model: Readonly<Model>): boolean {
		return true;
	}

	async run(model: Model, site: Site): Promise<void> {
		await this.execute(model, site);
	}

	abstract toString(): string;

	protected abstract execute(model: Model, site: Site): Promise<void>;
}

/** Reads all marks in a session. */
export class Read extends Command {
	constructor(readonly session: number, readonly freshness: Freshness, readonly maxAgeMs: number) {
		super();
	}

	override toString(): string {
		return `session ${this.session} reads ${this.freshness} (${this.maxAgeMs} ms)`;
	}

	protected override async execute(_model: Model, site: Site): Promise<void> {
		site.enqueue(this.session, async session => site.read(session, this.freshness, this.maxAgeMs));
	}
}

/** Request id of a write: none, a new one, or the latest one that a write used. */
export type RequestIdUse = 'none' | 'new' | 'used';

/** Inserts a mark in a session. A `used` request id may come from a write on another entry host. */
export class Write extends Command {
	constructor(readonly session: number, readonly requestIdUse: RequestIdUse, readonly isIdempotent: boolean) {
		super();
	}

	override check({ids}: Readonly<Model>): boolean {
		return this.requestIdUse !== 'used' || ids > 0;
	}

	override toString(): string {
		return `session ${this.session} writes, request id ${this.requestIdUse}${this.isIdempotent ? ', idempotent' : ''}`;
	}

	protected override async execute(model: Model, site: Site): Promise<void> {
		model.ids += this.requestIdUse === 'new' ? 1 : 0;
		const id = this.requestIdUse === 'none' ? '' : `q${model.ids}`;
		site.enqueue(this.session, async session => site.write(session, id, this.isIdempotent && id === ''));
	}
}

/** Runs a transaction in a session. */
export class Transaction extends Command {
	constructor(readonly session: number, readonly statements: number, readonly end: TransactionEnd) {
		super();
	}

	override toString(): string {
		return `session ${this.session} runs ${this.statements} statements and ends by ${this.end}`;
	}

	protected override async execute(_model: Model, site: Site): Promise<void> {
		site.enqueue(this.session, async session => site.runTransaction(session, this.statements, this.end));
	}
}

/** Reconnects a session to another entry host. */
export class SwitchHost extends Command {
	constructor(readonly session: number, readonly host: number, readonly keepsPosition: boolean) {
		super();
	}

	override toString(): string {
		return `session ${this.session} reconnects to host ${this.host} ${this.keepsPosition ? 'with' : 'without'} its position`;
	}

	protected override async execute(_model: Model, site: Site): Promise<void> {
		site.enqueue(this.session, async session => site.switchHost(session, this.host, this.keepsPosition));
	}
}

/** A fault of a link or a server. */
export type Fault =
	| {readonly kind: 'silence' | 'cut' | 'refuse' | 'accept'; readonly host: number; readonly server: string}
	| {readonly kind: 'cut-after'; readonly host: number; readonly server: string; readonly direction: relay.Direction; readonly bytes: number}
	| {readonly kind: 'delay'; readonly host: number; readonly server: string; readonly ms: number}
	| {readonly kind: 'lag'; readonly server: string; readonly ms: number}
	| {readonly kind: 'service'; readonly server: string; readonly ms: number}
	| {readonly kind: 'leaving'; readonly server: string};

/** Injects faults at the same time. */
export class Faults extends Command {
	constructor(readonly faults: readonly Fault[]) {
		super();
	}

	override toString(): string {
		return `faults ${JSON.stringify(this.faults)}`;
	}

	protected override async execute(_model: Model, site: Site): Promise<void> {
		for (const fault of this.faults) {
			injectFault(site.deployment, fault);
		}
	}
}

/** Injects a fault into a deployment. */
export function injectFault(running: deployment.Deployment, fault: Fault): void {
	if (fault.kind === 'lag' || fault.kind === 'service') {
		running.group.server(fault.server).set(fault.kind === 'lag' ? {lagMs: fault.ms} : {serviceMs: fault.ms});
		return;
	}

	if (fault.kind === 'leaving') {
		running.group.server(fault.server).set({isLeaving: true});
		return;
	}

	const link = running.relays.get(`entry-${fault.host + 1}/${fault.server}`)!;
	switch (fault.kind) {
		case 'silence': {
			link.silence();
			break;
		}

		case 'cut': {
			link.cut();
			break;
		}

		case 'refuse':
		case 'accept': {
			link.set({isRefusing: fault.kind === 'refuse'});
			break;
		}

		case 'cut-after': {
			link.cutAfter(fault.direction, fault.bytes);
			break;
		}

		case 'delay': {
			link.set({delayMs: fault.ms});
			break;
		}
	}
}

/** Promotes another server, with or without notifying the former primary. */
export class ReplacePrimary extends Command {
	constructor(readonly isolatesOld: boolean) {
		super();
	}

	override check({replacements}: Readonly<Model>): boolean {
		return replacements < 2;
	}

	override toString(): string {
		return `another server becomes primary${this.isolatesOld ? ' without notice to the former one' : ''}`;
	}

	protected override async execute(model: Model, site: Site): Promise<void> {
		model.replacements++;
		await site.replacePrimary(this.isolatesOld);
	}
}

export class Pause extends Command {
	constructor(readonly ms: number) {
		super();
	}

	override toString(): string {
		return `wait ${this.ms} ms`;
	}

	protected override async execute(_model: Model, site: Site): Promise<void> {
		await site.pause(this.ms);
	}
}
