/**
Memory budget of the process for what its connections hold: data that was received and isn't executed, requests in
execution, replies that the other end hasn't taken, and what sessions keep.

Every connection has an account. Where the budget runs short, large accounts stop reading first. If that doesn't suffice,
the largest account is closed; small ones are closed only if no large one is left.
*/
import type * as inbound from './inbound.js';

/**
What an account holds. Input is in buffers outside the heap; `request` and `output` count for the copies that exist
while they are passed on: the text, the command with it, the buffer that is written, and the frame of a link.
*/
export type Kind = 'input' | 'request' | 'output' | 'state';

const weights: Readonly<Record<Kind, number>> = {
	input: 1, request: 4, output: 2, state: 1,
};

/** Size up to which an account is small: a session with a few ordinary requests. */
export const smallBytes = 65_536;
/** Part of the budget from which large accounts stop reading and state is refused. */
const tightRatio = 0.6;
/** Part of the budget down to which accounts are closed, so that not every further byte closes one. */
const relievedRatio = 0.9;

/** The account of one connection. */
export class Account {
	readonly connection: inbound.Connection;
	readonly #budget: Budget;
	readonly #held: Record<Kind, number> = {
		input: 0, request: 0, output: 0, state: 0,
	};

	#bytes = 0;

	constructor(connection: inbound.Connection, budget: Budget) {
		this.connection = connection;
		this.#budget = budget;
	}

	/** Weighted size of everything that the account holds. */
	get bytes(): number {
		return this.#bytes;
	}

	/** Whether the connection should stop reading until `resume`. */
	get isPaused(): boolean {
		return this.#bytes > smallBytes && this.#budget.isTight;
	}

	/** What the account holds of one kind, without its weight. */
	held(kind: Kind): number {
		return this.#held[kind];
	}

	/** Sets the size of one kind, which may close this or other connections. */
	set(kind: Kind, bytes: number): void {
		const change = (bytes - this.#held[kind]) * weights[kind];
		if (change !== 0) {
			this.#held[kind] = bytes;
			this.#bytes += change;
			this.#budget.update(this, change);
		}
	}

	/** Sets the size of the state unless it grows by more than the budget has left. Returns whether it was set. */
	keep(bytes: number): boolean {
		const growth = bytes - this.#held.state;
		if (growth > 0 && this.#bytes + growth > smallBytes && !this.#budget.hasRoom(growth)) {
			return false;
		}

		this.set('state', bytes);
		return true;
	}

	/** Counts a request. Returns a promise if it has to wait for room in the budget first; small requests never wait. */
	begin(bytes: number): Promise<void> | undefined {
		const isSmall = bytes * weights.request <= smallBytes;
		if (isSmall || this.#budget.mayBegin(this, bytes * weights.request)) {
			this.set('request', bytes);
			return undefined;
		}

		return this.#budget.awaitRoom({
			account: this, weightedBytes: bytes * weights.request, begin: () => {
				this.set('request', bytes);
			},
		});
	}

	/** Ends the account: nothing is held any more. */
	close(): void {
		const held = this.#bytes;
		this.#bytes = 0;
		this.#budget.remove(this, held);
	}
}

/** A request that waits for room. */
type Waiting = {readonly account: Account; readonly weightedBytes: number; readonly begin: () => void};

/** The budget of one process. */
export class Budget {
	readonly limitBytes: number;
	readonly #accounts = new Set<Account>();
	readonly #large = new Set<Account>();
	#waiting: Array<Waiting & {readonly wake: () => void}> = [];
	#usedBytes = 0;
	#wasTight = false;
	#isRelieving = false;
	#isNotifying = false;

	constructor(limitBytes: number) {
		this.limitBytes = limitBytes;
	}

	/** Weighted size of everything that is held. */
	get usedBytes(): number {
		return this.#usedBytes;
	}

	get isTight(): boolean {
		return this.#usedBytes > this.limitBytes * tightRatio;
	}

	/** Opens an account for a connection. */
	open(connection: inbound.Connection): Account {
		const account = new Account(connection, this);
		this.#accounts.add(account);
		return account;
	}

	/** Whether `bytes` more leave the budget short of being tight. */
	hasRoom(bytes: number): boolean {
		return this.#usedBytes + bytes <= this.limitBytes * tightRatio;
	}

	/** Records that an account has changed. */
	update(account: Account, change: number): void {
		if (!this.#accounts.has(account)) {
			return;
		}

		this.#usedBytes += change;
		if (account.bytes > smallBytes) {
			this.#large.add(account);
		} else {
			this.#large.delete(account);
		}

		if (change > 0 && this.#usedBytes > this.limitBytes) {
			this.#relieve(relievedRatio);
		}

		this.#notify();
	}

	/** Removes an account that held `held` bytes. */
	remove(account: Account, held: number): void {
		if (this.#accounts.delete(account)) {
			this.#large.delete(account);
			this.#usedBytes -= held;
			const ended = this.#waiting.filter(waiting => waiting.account === account);
			this.#waiting = this.#waiting.filter(waiting => waiting.account !== account);
			for (const {wake} of ended) {
				wake();
			}

			this.#notify();
		}
	}

	/**
	Whether a request of `weightedBytes` may begin: there is room, or no other request is in execution, so that waiting
	would not make more room.
	*/
	mayBegin(account: Account, weightedBytes: number): boolean {
		return this.#usedBytes + weightedBytes <= this.limitBytes * relievedRatio || [...this.#large].every(other => other === account || other.held('request') === 0);
	}

	/** Waits until a request may begin, in the order of arrival, or until its account is closed. */
	async awaitRoom(waiting: Waiting): Promise<void> {
		await new Promise<void>(resolve => {
			this.#waiting.push({...waiting, wake: resolve});
		});
	}

	/** Closes the largest accounts if the budget is tight. Called when reading less has not made room for a while. */
	shedLargest(): void {
		if (this.isTight) {
			this.#relieve(tightRatio);
		}
	}

	/** Closes the largest accounts until at most `ratio` of the budget is used. */
	#relieve(ratio: number): void {
		if (this.#isRelieving) {
			return;
		}

		this.#isRelieving = true;
		while (this.#usedBytes > this.limitBytes * ratio && this.#accounts.size > 0) {
			const largest = findLargest(this.#large.size > 0 ? this.#large : this.#accounts);
			largest?.connection.shed('memory');
			largest?.close();
		}

		this.#isRelieving = false;
	}

	/** Lets waiting requests begin, and connections that stopped reading go on, once there is room again. */
	#notify(): void {
		if (this.#isNotifying) {
			return;
		}

		this.#isNotifying = true;
		for (let [first] = this.#waiting; first && this.mayBegin(first.account, first.weightedBytes); [first] = this.#waiting) {
			this.#waiting.shift();
			first.begin();
			first.wake();
		}

		const {isTight} = this;
		if (this.#wasTight && !isTight) {
			for (const {connection} of this.#large) {
				connection.resume();
			}
		}

		this.#wasTight = isTight;
		this.#isNotifying = false;
	}
}

function findLargest(accounts: Iterable<Account>): Account | undefined {
	let largest: Account | undefined;
	for (const account of accounts) {
		if (!largest || account.bytes > largest.bytes) {
			largest = account;
		}
	}

	return largest;
}
