/**
Callers of a soak: sessions that read, write and run transactions through the entry hosts, and report what they were told.
*/
import * as net from 'node:net';
import * as line from '../platform/line.js';
import type * as clock from '../core/clock.js';
import type * as random from '../core/random.js';
import type * as types from '../generated/types.js';
import type * as judges from './judge.js';

/** A route as callers use it. */
export type Route = {readonly database: string; readonly group: string; readonly kind: types.RouteKind; readonly ageMs: number};

/** What callers need. */
export type Parts = {
	readonly clock: clock.Clock;
	readonly random: random.Source;
	readonly judge: judges.Judge;
	readonly route: Route;
	/** Addresses on which the entry hosts take callers. */
	readonly hosts: readonly string[];
};

type Answer = {readonly rows: readonly string[]; readonly signature: string; readonly error: string | undefined; readonly state: string};

/** Codes that promise that nothing of an attempt is kept. */
const promises: ReadonlySet<string> = new Set(['BUSY', 'ABORTED', 'LAGGING', 'READONLY', 'WRONGNODE', 'CONNLIMIT']);
/** Time in ms that a caller waits for an answer, and between operations at the most. */
const answerMs = 6000;
const pauseMs = 120;
const items = 20;

/** Serves one caller's sessions, one after the other, and counts. */
export class Caller {
	/** Operations that succeeded, and the times of the clock at which they did. */
	readonly served: number[] = [];
	attempts = 0;
	readonly #parts: Parts;
	readonly #name: string;
	#count = 0;

	constructor(name: string, parts: Parts) {
		this.#name = name;
		this.#parts = parts;
	}

	/** Opens sessions at one host after the other until `signal` aborts. */
	async run(signal: AbortSignal): Promise<void> {
		const {clock: time, random: source, hosts} = this.#parts;
		while (!signal.aborted) {
			const session = new Session(hosts[source.integer(0, hosts.length - 1)], this.#parts);
			if (await session.open()) {
				const end = time.now() + source.integer(200, 6000);
				while (!signal.aborted && session.isOpen && time.now() < end) {
					this.attempts++;
					if (await this.#operate(session)) {
						this.served.push(time.now());
					}

					await time.sleep(source.integer(0, pauseMs));
				}
			}

			session.close();
			await time.sleep(source.integer(10, pauseMs));
		}
	}

	/** One operation: a statement or a transaction. */
	async #operate(session: Session): Promise<boolean> {
		const source = this.#parts.random;
		const item = source.integer(1, items);
		switch (source.integer(0, 9)) {
			case 0: {
				return session.set(`v${source.integer(1, 3)}`, String(source.integer(1, 3)));
			}

			case 1: {
				return session.prepare(`s${source.integer(1, 2)}`, source.integer(0, 1) === 0 ? `READ q${item}` : `WRITE q${item}`);
			}

			case 2:
			case 3: {
				return this.#transact(session, item);
			}

			case 4:
			case 5:
			case 6: {
				return session.write(this.#id(), `WRITE ${item} ${this.#name}`);
			}

			default: {
				return session.read(this.#id(), `READ ${item}`);
			}
		}
	}

	async #transact(session: Session, item: number): Promise<boolean> {
		const source = this.#parts.random;
		if (!await session.begin(this.#id())) {
			return false;
		}

		const steps = source.integer(1, 4);
		for (let step = 0; step < steps; step++) {
			const isWrite = source.integer(0, 2) === 0;
			const isDone = isWrite ? await session.write(this.#id(), `WRITE ${item} ${this.#name}`) : await session.read(this.#id(), `READ ${item}`);
			if (!isDone) {
				await session.rollback(this.#id());
				return false;
			}

			await this.#parts.clock.sleep(source.integer(0, 60));
		}

		if (source.integer(0, 9) === 0) {
			// Leaves in the middle of the transaction.
			session.close();
			return true;
		}

		return source.integer(0, 4) === 0 ? session.rollback(this.#id()) : session.commit(this.#id());
	}

	#id(): string {
		this.#count++;
		return `${this.#name}-${this.#count}`;
	}
}

/** One session. */
class Session {
	readonly #parts: Parts;
	readonly #socket: net.Socket;
	readonly #splitter = new line.Splitter();
	readonly #values = new Map<string, string>();
	readonly #prepared = new Map<string, string>();
	readonly #own: string[] = [];
	readonly #lines: string[] = [];
	#wake: (() => void) | undefined;
	#isOpen = true;
	/** The open transaction: when it began, and what it wrote. */
	#transaction: {readonly sentAt: number; readonly writes: string[]} | undefined;

	constructor(host: string, parts: Parts) {
		this.#parts = parts;
		const [address, port] = host.split(':');
		this.#socket = net.connect({host: address, port: Number(port), noDelay: true});
		this.#socket.on('data', chunk => {
			this.#lines.push(...this.#splitter.push(chunk) ?? []);
			this.#wake?.();
		});
		this.#socket.on('error', () => {
			this.close();
		});
		this.#socket.on('close', () => {
			this.close();
		});
	}

	get isOpen(): boolean {
		return this.#isOpen;
	}

	async open(): Promise<boolean> {
		this.#socket.write(`STARTUP ${this.#parts.route.database} soak\r\n`);
		const welcome = await this.#line();
		return welcome?.startsWith('READY') ?? false;
	}

	close(): void {
		this.#isOpen = false;
		this.#socket.destroy();
		this.#wake?.();
		this.#end('not-kept');
	}

	async set(name: string, value: string): Promise<boolean> {
		const isDone = await this.#command(`SET ${name} ${value}`);
		if (isDone) {
			this.#values.set(name, value);
		}

		return isDone;
	}

	async prepare(name: string, text: string): Promise<boolean> {
		const isDone = await this.#command(`PREPARE ${name} ${text}`);
		if (isDone) {
			this.#prepared.set(name, text);
		}

		return isDone;
	}

	async begin(id: string): Promise<boolean> {
		const sentAt = this.#parts.clock.now();
		const answer = await this.#ask(id, 'BEGIN');
		if (answer && answer.error === undefined) {
			this.#transaction = {sentAt, writes: []};
		}

		return this.#transaction !== undefined;
	}

	async read(id: string, text: string): Promise<boolean> {
		const answer = await this.#run(id, text);
		return answer !== undefined && answer.error === undefined;
	}

	async write(id: string, text: string): Promise<boolean> {
		this.#transaction?.writes.push(id);
		const answer = await this.#run(id, text);
		if (!this.#transaction) {
			this.#report([id], answer);
		}

		return answer !== undefined && answer.error === undefined;
	}

	async commit(id: string): Promise<boolean> {
		const writes = this.#transaction?.writes ?? [];
		this.#note(id, 'COMMIT', this.#transaction?.sentAt);
		this.#transaction = undefined;
		const answer = await this.#ask(id, 'COMMIT');
		this.#report(writes, answer);
		if (answer && answer.error === undefined) {
			this.#parts.judge.answered(id, answer.signature, answer.rows);
		}

		return answer !== undefined && answer.error === undefined;
	}

	async rollback(id: string): Promise<boolean> {
		this.#end('not-kept');
		const answer = await this.#ask(id, 'ROLLBACK');
		return answer !== undefined && answer.error === undefined;
	}

	/** A statement that the system answers itself. */
	async #command(text: string): Promise<boolean> {
		const answer = await this.#ask('own', text);
		return answer !== undefined && answer.error === undefined;
	}

	/** Runs a read or a write, at times through a prepared statement. */
	async #run(id: string, text: string): Promise<Answer | undefined> {
		const [word] = line.split(text, 1);
		const [name, shape] = [...this.#prepared].find(([, prepared]) => prepared.startsWith(`${word} `)) ?? [];
		const isPrepared = name !== undefined && shape !== undefined && this.#parts.random.integer(0, 1) === 0;
		this.#note(id, isPrepared ? `${shape} 7 x` : text, this.#transaction?.sentAt);
		const answer = await this.#ask(id, isPrepared ? `EXECUTE ${name} 7 x` : text);
		if (answer && answer.error === undefined) {
			this.#parts.judge.answered(id, answer.signature, answer.rows);
		}

		return answer;
	}

	#note(id: string, text: string, sentAt: number | undefined): void {
		const {judge, route, clock: time} = this.#parts;
		judge.send({
			id, text, kind: route.kind, ageMs: route.ageMs, sentAt: sentAt ?? time.now(), values: new Map(this.#values), own: [...this.#own],
		});
	}

	#report(ids: readonly string[], answer: Answer | undefined): void {
		const {judge, route} = this.#parts;
		if (!answer) {
			judge.end(route.group, ids, 'unknown');
		} else if (answer.error === undefined) {
			this.#own.push(...ids);
			judge.end(route.group, ids, 'acknowledged');
		} else {
			judge.end(route.group, ids, promises.has(answer.error) ? 'not-kept' : 'unknown');
		}
	}

	/** A transaction whose COMMIT was never sent is not kept. */
	#end(end: judges.End): void {
		this.#parts.judge.end(this.#parts.route.group, this.#transaction?.writes ?? [], end);
		this.#transaction = undefined;
	}

	async #ask(id: string, text: string): Promise<Answer | undefined> {
		this.#socket.write(`QUERY ${id} ${text}\r\n`);
		const rows: string[] = [];
		let signature = '';
		let error: string | undefined;
		for (let received = await this.#line(); received !== undefined; received = await this.#line()) {
			const [word, first = ''] = line.split(received, 2);
			if (word === 'READY') {
				return {
					rows, signature, error, state: first,
				};
			}

			if (word === 'ERROR') {
				error = first;
			} else if (word === 'COMPLETE') {
				signature = received.slice('COMPLETE '.length);
			} else {
				rows.push(received.slice('DATAROW '.length));
			}
		}

		this.close();
		return undefined;
	}

	async #line(): Promise<string | undefined> {
		const end = this.#parts.clock.now() + answerMs;
		while (this.#lines.length === 0 && this.#isOpen && this.#parts.clock.now() < end) {
			await this.#parts.clock.limit(new Promise<void>(resolve => {
				this.#wake = resolve;
			}), end - this.#parts.clock.now());
		}

		return this.#lines.shift();
	}
}
