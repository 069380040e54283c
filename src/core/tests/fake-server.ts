/**
Fake backend servers on a manual clock. Their connections record every use that a pool must prevent.
*/
import * as Either from 'fp-ts/lib/Either.js';
import type * as types from '../../generated/types.js';
import * as backend from '../backend.js';
import type * as clock from '../clock.js';
import * as errors from '../errors.js';
import * as position from '../position.js';

/** Result of a connection attempt. */
export type ConnectResult = {readonly kind: 'open' | 'refuse' | 'hang' | 'at-limit'; readonly delayMs: number};

/** Responds to a statement; `undefined` closes the connection without a response. */
export type StatementHandler = (sql: string, connection: Connection) => Promise<errors.Outcome<types.Answer> | undefined>;

/** A server whose behaviour is set by the test. */
export class Server extends backend.Server {
	override readonly name: string;
	override readonly place = 'puget-a';
	readonly connections: Connection[] = [];
	readonly executed: string[] = [];
	readonly clock: clock.Clock;
	connectAttempts = 0;
	state: types.Status;
	/** Maximum number of connections that were open or being opened at the same time. */
	peakConnections = 0;
	/** Number of calls made on a connection while an earlier call was still pending. */
	overlaps = 0;
	onConnect: () => ConnectResult;
	onStatement: StatementHandler;
	#connecting = 0;

	constructor(name: string, time: clock.Clock, role: types.Role = 'replica') {
		super();
		this.name = name;
		this.clock = time;
		this.onConnect = () => ({kind: 'open', delayMs: 1});
		this.onStatement = async () => Either.right(completion(name));
		this.state = {
			server: name,
			role,
			term: 1,
			claimant: '',
			last: {term: 1, index: 1},
			history: [{term: 1, start: 1}],
			following: '',
			connections: 0,
			connectionLimit: 16,
			leaving: false,
		};
	}

	get open(): number {
		return this.connections.filter(({isOpen}) => isOpen).length;
	}

	override async connect(timeoutMs: number, customer?: string): Promise<errors.Outcome<backend.Connection>> {
		const {kind, delayMs} = this.onConnect();
		this.connectAttempts++;
		this.#connecting++;
		this.peakConnections = Math.max(this.peakConnections, this.open + this.#connecting);
		await this.clock.sleep(kind === 'hang' ? timeoutMs : Math.min(delayMs, timeoutMs));
		this.#connecting--;
		if (kind !== 'open' || delayMs > timeoutMs) {
			return errors.fail('not-run', kind === 'at-limit' ? 'admit' : 'connect', this.name, 'refused');
		}

		const connection = new Connection(this, customer);
		this.connections.push(connection);
		return Either.right(connection);
	}
}

/** A connection of a fake server. */
export class Connection extends backend.Connection {
	override readonly server: string;
	/** The customer that the connection was opened for. */
	readonly customer: string | undefined;
	isUnresponsive = false;
	resets = 0;
	#isOpen = true;
	#pending = 0;
	readonly #server: Server;

	constructor(server: Server, customer?: string) {
		super();
		this.customer = customer;
		this.server = server.name;
		this.#server = server;
	}

	override get isOpen(): boolean {
		return this.#isOpen;
	}

	override async execute(sql: string, timeoutMs: number): Promise<errors.Outcome<types.Answer>> {
		this.#server.executed.push(sql);
		return this.#exchange(this.#server.onStatement(sql, this), timeoutMs);
	}

	override async status(timeoutMs: number): Promise<errors.Outcome<types.Status>> {
		return this.#exchange(Promise.resolve(Either.right(this.#server.state)), timeoutMs);
	}

	override async wait(minPosition: position.Position, waitMs: number, timeoutMs: number): Promise<errors.Outcome<types.Status>> {
		if (position.relate(this.#server.state, minPosition) === 'behind') {
			await this.#server.clock.sleep(waitMs);
		}

		return this.status(timeoutMs);
	}

	override async adoptTerm(): Promise<errors.Outcome<types.Grant>> {
		throw new Error('not used');
	}

	override async promote(): Promise<errors.Outcome<types.Grant>> {
		throw new Error('not used');
	}

	override async follow(): Promise<errors.Outcome<types.Grant>> {
		throw new Error('not used');
	}

	override async reset(timeoutMs: number): Promise<errors.Outcome<void>> {
		this.resets++;
		return this.#exchange(Promise.resolve(Either.right(undefined)), timeoutMs);
	}

	override close(): void {
		this.#isOpen = false;
	}

	async #exchange<T>(response: Promise<errors.Outcome<T> | undefined>, timeoutMs: number): Promise<errors.Outcome<T>> {
		if (!this.#isOpen) {
			return errors.fail('not-run', 'send', this.server, 'closed');
		}

		this.#server.overlaps += this.#pending > 0 ? 1 : 0;
		this.#pending++;
		const {clock: time} = this.#server;
		const outcome = await time.limit(this.isUnresponsive ? Promise.race<undefined>([]) : response, timeoutMs);
		this.#pending--;
		if (!outcome) {
			this.close();
			return errors.fail('outcome-unknown', 'receive', this.server, 'lost');
		}

		return outcome;
	}
}

/** The response to a statement without rows. */
export function completion(server: string): types.Completion {
	return {
		kind: 'ok', affectedRows: 1, insertId: 0, position: null, server,
	};
}

/** A request with default values. */
export function request(change: Partial<types.Request>): types.Request {
	return {
		sql: 'SELECT 1',
		session: 's',
		service: 'ledgers',
		tenant: 'cascade',
		class: '',
		kind: 'read',
		transaction: 'none',
		position: null,
		maximumAgeMs: 0,
		requestId: 'r',
		deadlineMs: 1000,
		...change,
	};
}
