/**
Commands for stateful fuzzing with fast-check: sessions that read, write and roam while servers lag and links fail.
A command starts its request and does not wait for it, so that the requests of different sessions overlap; the requests
of one session follow each other.
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

/** What a command may suppose about the state, without looking at the deployment. */
export type Model = {
	/** Request ids that were used. */
	ids: number;
	/** Changes of primary so far; a case has at most two, so that it ends in time. */
	replacements: number;
};

/** How fresh a read must be. */
export type Freshness = 'strict' | 'session' | 'aged';

/** How a transaction ends. */
export type End = 'commit' | 'rollback' | 'vanish';

type Session = {
	connection: mysql.Connection;
	host: number;
	/** Marks whose positions the session carries. */
	carried: string[];
	tail: Promise<void>;
};

const hosts = ['puget-a', 'willamette-a', 'inland-a'];
const sessionCount = 4;
const convergeLimitMs = 8000;
const pollMs = 10;
const callTimeoutMs = 1000;
/** Share of an entry host in the connections of a server: a quarter of 16. */
const connectionShare = 4;
/** The connection for a change of primary, which comes from the last quarter of the limit (design.md, 3.9). */
const controlConnections = 1;

const classes = [
	'[service.ledgers.class.strict]\nkind = read\ndeadlineMs = 800',
	'[service.ledgers.class.session]\nkind = read\nfreshness = session\ndeadlineMs = 800',
	'[service.ledgers.class.aged]\nkind = read\ndeadlineMs = 800',
	'[service.ledgers.class.pay]\nkind = write\ndeadlineMs = 800',
	'[service.ledgers.class.slow]\nkind = write\ndeadlineMs = 2000',
	'[service.ledgers.class.touch]\nkind = write\nidempotent = true\ndeadlineMs = 800',
].join('\n');

/** A deployment with sessions, and the history of what their callers were told. */
export class Site {
	static async start(lagMs = 0): Promise<Site> {
		const running = await deployment.Deployment.start({
			lagMs,
			places: hosts,
			hosts,
			schema: oracle.schema,
			classes,
			timing: 'probeIntervalMs = 50\nprobeTimeoutMs = 200',
			linkMs: () => 0,
		});
		const site = new Site(running);
		for (let index = 0; index < sessionCount; index++) {
			site.#sessions.push({
				connection: await running.connect(index % hosts.length), host: index % hosts.length, carried: [], tail: Promise.resolve(),
			});
		}

		return site;
	}

	readonly deployment: deployment.Deployment;
	readonly reads: oracle.Read[] = [];
	readonly writes: oracle.Write[] = [];
	readonly #sessions: Session[] = [];
	readonly #clock = new clock.System();
	readonly #acknowledged: string[] = [];
	/** Primary that was replaced without its knowledge. */
	#isolated = '';
	/** Delays of this process's event loop, in ns. */
	readonly #stalls = performanceHooks.monitorEventLoopDelay({resolution: 10});
	#requests = 0;

	private constructor(running: deployment.Deployment) {
		this.deployment = running;
		this.#stalls.enable();
	}

	/** Adds work to a session, after what it already does. */
	enqueue(index: number, work: (session: Session) => Promise<void>): void {
		const session = this.#sessions[index];
		const previous = session.tail;
		session.tail = (async () => {
			await previous;
			await work(session);
		})();
	}

	/** A mark that no other write has. */
	mark(prefix: string): string {
		this.#requests++;
		return `${prefix}${this.#requests}`;
	}

	async read(session: Session, freshness: Freshness, ageMs: number): Promise<void> {
		const tag = this.mark('r');
		const mustSee = [...(freshness === 'strict' ? this.#acknowledged : session.carried)];
		const age = freshness === 'aged' ? ` age=${ageMs}ms` : '';
		const [told, content] = await this.#query(session, `/* sycamorering class=${freshness}${age} */ SELECT '${tag}' AS tag, mark FROM ledger ORDER BY entry`);
		if (told === 'ok') {
			const rows = (content as Array<{tag: string; mark: string}>).map(row => [row.tag, row.mark] as const);
			this.reads.push({
				tag, mustSee, rows, ageMs: freshness === 'aged' ? ageMs : undefined, endedAt: this.#clock.now(),
			});
		}
	}

	async write(session: Session, requestId: string, isIdempotent: boolean): Promise<void> {
		const mark = this.mark('w');
		const id = requestId === '' ? '' : ` request=${requestId}`;
		const [told, content] = await this.#query(session, `/* sycamorering class=${isIdempotent ? 'touch' : 'pay'}${id} */ ${insert(mark)}`);
		const insertId = told === 'ok' ? (content as {insertId: number}).insertId : 0;
		this.writes.push({
			marks: [mark], requestId, isIdempotent, told, insertId,
		});
		// A repeated request may be answered for its first run, whose mark is another.
		if (told === 'ok' && requestId === '') {
			this.#acknowledged.push(mark);
			session.carried.push(mark);
		}
	}

	async transact(session: Session, statements: number, end: End): Promise<void> {
		const marks = Array.from({length: statements}, () => this.mark('t'));
		const texts = ['BEGIN', ...marks.map(mark => insert(mark)), end === 'commit' ? 'COMMIT' : 'ROLLBACK'];
		let told: oracle.Told = 'vanished';
		for (const text of end === 'vanish' ? texts.slice(0, -1) : texts) {
			[told] = await this.#query(session, `/* sycamorering class=pay */ ${text}`);
			if (told !== 'ok') {
				await this.#query(session, 'ROLLBACK');
				break;
			}
		}

		if (end === 'vanish') {
			session.connection.destroy();
			await this.#connect(session, session.host);
		}

		const isCommitted = end === 'commit' && told === 'ok';
		this.writes.push({
			marks, requestId: '', isIdempotent: false, told: end === 'commit' ? told : 'vanished', insertId: 0,
		});
		if (isCommitted) {
			this.#acknowledged.push(...marks);
			session.carried.push(...marks);
		}
	}

	async roam(session: Session, host: number, isCarrying: boolean): Promise<void> {
		const carried = await readPosition(session.connection);
		session.connection.destroy();
		await this.#connect(session, host);
		if (isCarrying && carried) {
			await this.#query(session, `SET @sycamorering_position = '${carried}'`);
		} else {
			session.carried = [];
		}
	}

	/** Makes another server primary of a new term. An isolated old primary does not learn of it until the end. */
	async replace(isIsolating: boolean): Promise<void> {
		const statuses = [...this.deployment.group.servers.values()].map(({status}) => status);
		const term = Math.max(...statuses.map(status => status.term)) + 1;
		const old = statuses.find(status => status.role === 'primary')?.server ?? '';
		const asked = statuses.filter(({server}) => server !== old || !isIsolating).map(({server}) => server);
		const claimant = `fuzz-${term}`;
		const grants = await Promise.all(asked.map(async server => this.#call(server, async connection => connection.adoptTerm(term, claimant, callTimeoutMs))));
		const granted = grants.filter(grant => grant?.granted).map(grant => grant!.status);
		const best = granted.filter(({server}) => server !== old).toSorted((left, right) => position.compare(right.last, left.last))[0];
		const hasLongest = best !== undefined && granted.every(({last}) => position.compare(last, best.last) <= 0);
		const target = hasLongest ? best.server : old;
		if (granted.length < 2 || !asked.includes(target)) {
			return;
		}

		await this.#call(target, async connection => connection.promote(term, claimant, callTimeoutMs));
		this.#isolated = isIsolating ? old : '';
		await this.#follow(target, term, asked);
	}

	/** Servers, links and connections as they are when nothing is wrong, and every request at its end. */
	async settle(): Promise<void> {
		for (const link of this.deployment.relays.values()) {
			link.set({delayMs: 0, isRefusing: false});
		}

		for (const server of this.deployment.group.servers.values()) {
			server.set({lagMs: 0, serviceMs: 0});
		}

		await Promise.all(this.#sessions.map(async session => session.tail));
		for (const link of this.deployment.relays.values()) {
			link.cut();
		}

		const end = this.#clock.now() + convergeLimitMs;
		while (!await this.#converge()) {
			if (this.#clock.now() > end) {
				throw new Error('the replicas did not catch up');
			}

			await this.#clock.sleep(pollMs);
		}
	}

	/** The log that holds: that of the primary of the highest term. */
	final(): readonly log.Entry[] {
		const servers = [...this.deployment.group.servers.values()];
		const primary = servers.filter(({status}) => status.role === 'primary').toSorted((left, right) => right.status.term - left.status.term)[0];
		return primary?.entries ?? [];
	}

	/** Faults that the oracle finds now. */
	judge(): string[] {
		const servers = [...this.deployment.group.servers.values()];
		const committed = new Map<string, number>();
		for (const server of servers) {
			for (const {term, index} of server.entries) {
				const key = position.format({term, index});
				committed.set(key, Math.min(committed.get(key) ?? Number.POSITIVE_INFINITY, server.arrivedAt(index) ?? Number.POSITIVE_INFINITY));
			}
		}

		const faults = oracle.judge(this.reads, this.writes, {
			final: this.final(),
			stallMs: this.#stalls.max / 1e6,
			branches: [...servers.map(({entries}) => entries), ...servers.flatMap(({dropped}) => dropped)],
			committedAt: entry => committed.get(position.format(entry)) ?? Number.POSITIVE_INFINITY,
		});
		return [...faults, ...this.judgeConnections()];
	}

	/** Links over which an entry host held more connections than its share and that for a change of primary. */
	judgeConnections(): string[] {
		return [...this.deployment.relays].filter(([, {mostOpen}]) => mostOpen > connectionShare + controlConnections)
			.map(([name, {mostOpen}]) => `connections: ${name} had ${mostOpen}`);
	}

	async stop(): Promise<void> {
		this.#stalls.disable();
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
		this.#isolated = '';
		return statuses.every(({last}) => position.compare(last, primary.last) === 0);
	}

	async #follow(primary: string, term: number, servers: readonly string[]): Promise<void> {
		await Promise.all(servers.filter(server => server !== primary && server !== this.#isolated)
			.map(async server => this.#call(server, async connection => connection.follow(primary, term, callTimeoutMs))));
	}

	async #call<T>(name: string, work: (connection: client.Connection) => Promise<Either.Either<unknown, T>>): Promise<T | undefined> {
		const target = new client.Server({
			name, place: '', host: '127.0.0.1', port: this.deployment.group.server(name).port, user: 'replication', password: '',
		});
		const opened = await target.connect(callTimeoutMs);
		if (Either.isLeft(opened)) {
			return undefined;
		}

		const outcome = await work(opened.right as client.Connection);
		opened.right.close();
		return Either.isRight(outcome) ? outcome.right : undefined;
	}

	async #connect(session: Session, host: number): Promise<void> {
		session.connection = await this.deployment.connect(host);
		session.host = host;
	}

	async #query(session: Session, sql: string): Promise<[oracle.Told, unknown]> {
		try {
			const [content] = await session.connection.query(sql);
			return ['ok', content];
		} catch (error) {
			const kind = /^(?<kind>not-run|outcome-unknown|position-lost|directive|denied):/v.exec((error as Error).message)?.groups?.kind;
			if (kind === 'directive' || kind === 'denied') {
				throw error;
			}

			return [(kind as oracle.Told | undefined) ?? 'database', undefined];
		}
	}
}

/** The position of the session on a connection; null if it has none. */
export async function readPosition(connection: mysql.Connection): Promise<string | null> {
	const name = '@@sycamorering_position';
	const [rows] = await connection.query(`SELECT ${name}`);
	return (rows as Array<Record<string, string | null>>)[0]?.[name] ?? null;
}

function insert(mark: string): string {
	return `INSERT INTO ledger (mark) VALUES ('${mark}')`;
}

/** A step of a case. */
abstract class Command implements fc.AsyncCommand<Model, Site> {
	check(_model: Readonly<Model>): boolean {
		return true;
	}

	async run(model: Model, site: Site): Promise<void> {
		await this.act(model, site);
	}

	abstract toString(): string;

	protected abstract act(model: Model, site: Site): Promise<void>;
}

/** A session reads. */
export class Read extends Command {
	constructor(readonly session: number, readonly freshness: Freshness, readonly ageMs: number) {
		super();
	}

	override toString(): string {
		return `session ${this.session} reads ${this.freshness} (${this.ageMs} ms)`;
	}

	protected override async act(_model: Model, site: Site): Promise<void> {
		site.enqueue(this.session, async session => site.read(session, this.freshness, this.ageMs));
	}
}

/** How a write names its request. */
export type Naming = 'none' | 'new' | 'used';

/** A session writes, with no request id, a new one, or one that was used before on any entry host. */
export class Write extends Command {
	constructor(readonly session: number, readonly naming: Naming, readonly isIdempotent: boolean) {
		super();
	}

	override check({ids}: Readonly<Model>): boolean {
		return this.naming !== 'used' || ids > 0;
	}

	override toString(): string {
		return `session ${this.session} writes, request id ${this.naming}${this.isIdempotent ? ', idempotent' : ''}`;
	}

	protected override async act(model: Model, site: Site): Promise<void> {
		model.ids += this.naming === 'new' ? 1 : 0;
		const id = this.naming === 'none' ? '' : `q${model.ids}`;
		site.enqueue(this.session, async session => site.write(session, id, this.isIdempotent && id === ''));
	}
}

/** A session runs a transaction. */
export class Transaction extends Command {
	constructor(readonly session: number, readonly statements: number, readonly end: End) {
		super();
	}

	override toString(): string {
		return `session ${this.session} runs ${this.statements} statements and ends by ${this.end}`;
	}

	protected override async act(_model: Model, site: Site): Promise<void> {
		site.enqueue(this.session, async session => site.transact(session, this.statements, this.end));
	}
}

/** A session goes to another entry host. */
export class Roam extends Command {
	constructor(readonly session: number, readonly host: number, readonly isCarrying: boolean) {
		super();
	}

	override toString(): string {
		return `session ${this.session} goes to host ${this.host} ${this.isCarrying ? 'with' : 'without'} its position`;
	}

	protected override async act(_model: Model, site: Site): Promise<void> {
		site.enqueue(this.session, async session => site.roam(session, this.host, this.isCarrying));
	}
}

/** What happens to a link or a server. */
export type Fault =
	| {readonly kind: 'silence' | 'cut' | 'refuse' | 'accept'; readonly host: number; readonly server: string}
	| {readonly kind: 'cut-after'; readonly host: number; readonly server: string; readonly direction: relay.Direction; readonly bytes: number}
	| {readonly kind: 'delay'; readonly host: number; readonly server: string; readonly ms: number}
	| {readonly kind: 'lag'; readonly server: string; readonly ms: number}
	| {readonly kind: 'service'; readonly server: string; readonly ms: number}
	| {readonly kind: 'leaving'; readonly server: string};

/** One or two faults at once. */
export class Faults extends Command {
	constructor(readonly faults: readonly Fault[]) {
		super();
	}

	override toString(): string {
		return `faults ${JSON.stringify(this.faults)}`;
	}

	protected override async act(_model: Model, site: Site): Promise<void> {
		for (const fault of this.faults) {
			cause(site.deployment, fault);
		}
	}
}

/** Causes a fault. */
export function cause(running: deployment.Deployment, fault: Fault): void {
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

/** Another server becomes primary; the old one may not learn of it. */
export class Replace extends Command {
	constructor(readonly isIsolating: boolean) {
		super();
	}

	override check({replacements}: Readonly<Model>): boolean {
		return replacements < 2;
	}

	override toString(): string {
		return `another server becomes primary${this.isIsolating ? ', unknown to the old one' : ''}`;
	}

	protected override async act(model: Model, site: Site): Promise<void> {
		model.replacements++;
		await site.replace(this.isIsolating);
	}
}

/** Time passes. */
export class Pause extends Command {
	constructor(readonly ms: number) {
		super();
	}

	override toString(): string {
		return `${this.ms} ms pass`;
	}

	protected override async act(_model: Model, site: Site): Promise<void> {
		await site.pause(this.ms);
	}
}
