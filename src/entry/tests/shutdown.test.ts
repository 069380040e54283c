import * as assert from 'node:assert/strict';
import * as test from 'node:test';
import * as clock from '../../core/clock.js';
import type * as caller from '../caller.js';
import * as limiters from '../customers/limiter.js';
import * as callers from '../caller.js';
import * as decisions from '../decisions.js';
import * as deployments from '../deployment.js';
import * as executor from '../executor.js';
import * as sessions from '../session.js';
import * as shutdowns from '../shutdown.js';
import * as statement from '../statement.js';

const graceMs = 6000;
const read: statement.Statement = {kind: 'direct', mode: 'read', text: 'READ 1'};

/** A clock whose polls take `turnMs`, and call `onPoll` with what arrives meanwhile. */
class Polling extends clock.Manual {
	turnMs = 0;
	/** Length of a stop of the process just after a poll has been found current. */
	stopAfterPollMs = 0;
	onPoll: (() => void) | undefined;
	#pollMs = 0;
	#readings = 0;

	override now(): number {
		this.#readings++;
		// The first reading after a poll is that of its length.
		if (this.#readings === 2) {
			this.#pollMs += this.stopAfterPollMs;
		}

		return super.now() + this.#pollMs;
	}

	/** Lets time pass without any task, as when the process is stopped. */
	stall(ms: number): void {
		this.#pollMs += ms;
	}

	override async poll(): Promise<void> {
		this.#pollMs += this.turnMs;
		this.#readings = 0;
		this.onPoll?.();
	}
}

/** A caller whose messages a test submits. A request that meets a closed connection is counted as unanswered. */
class Caller extends callers.Caller {
	override readonly address = 'test';
	/** Time for which the process is stopped while it writes a reply. */
	replyMs = 0;
	replies = 0;
	unanswered = 0;
	isClosed = false;
	/** Time between the last reply and the close. */
	closedAfterMs: number | undefined;
	#repliedAt = 0;
	#isOpened: boolean;
	readonly #requests: statement.Request[] = [];
	#isExecuting = false;
	#wake: (() => void) | undefined;

	readonly #clock: Polling;

	constructor(time: Polling, isOpened: boolean) {
		super();
		this.#clock = time;
		this.#isOpened = isOpened;
	}

	override get hasPendingRequest(): boolean {
		return this.#isExecuting || this.#requests.length > 0;
	}

	startUp(): void {
		this.#isOpened = true;
		this.#wake?.();
	}

	submit(): void {
		if (this.isClosed) {
			this.unanswered++;
		} else {
			this.#requests.push({id: 'q', statement: read});
			this.#wake?.();
		}
	}

	override async open(): Promise<caller.Opening | undefined> {
		await this.#waitUntil(() => this.#isOpened);
		return this.isClosed ? undefined : {database: 'd', key: 'u'};
	}

	override accept(): void {
		// The test knows when it has sent STARTUP.
	}

	override reject(): void {
		this.isClosed = true;
	}

	override async next(): Promise<statement.Request | undefined> {
		await this.#waitUntil(() => this.#requests.length > 0);
		const request = this.#requests.shift();
		this.#isExecuting = request !== undefined;
		return request;
	}

	override reply(): void {
		this.replies++;
		this.#clock.stall(this.replyMs);
		this.#repliedAt = this.#clock.now();
		this.#isExecuting = false;
	}

	override close(): void {
		this.isClosed = true;
		this.closedAfterMs ??= this.#clock.now() - this.#repliedAt;
		this.#wake?.();
	}

	async #waitUntil(isReady: () => boolean): Promise<void> {
		while (!isReady() && !this.isClosed) {
			await new Promise<void>(resolve => {
				this.#wake = resolve;
			});
		}
	}
}

/** Answers every statement after `durationMs`. */
class Executor extends executor.Executor {
	durationMs = 0;
	readonly #clock: clock.Clock;

	constructor(time: clock.Clock) {
		super();
		this.#clock = time;
	}

	override prepare(): void {
		// Nothing to prepare.
	}

	override async run(): Promise<statement.Reply> {
		if (this.durationMs > 0) {
			await this.#clock.sleep(this.durationMs);
		}

		return statement.success('none');
	}

	override async begin(): Promise<statement.Reply> {
		return statement.refuse('busy', 'not needed', 'none');
	}
}

/** A host with sessions that shuts down. */
class Host {
	readonly time = new Polling();
	readonly executor = new Executor(this.time);
	readonly sessions = new Set<sessions.Session>();
	isStopped = false;
	readonly #decisions = new decisions.Silent();
	readonly #deployment = new deployments.Deployment(this.time, this.#decisions);

	constructor() {
		this.#deployment.accept({
			version: 1, databases: [], idleTransactionMs: 3000, routes: [{
				name: 'r', database: 'd', kind: 'session', maximumAgeMs: 1500, statementTimeoutMs: 800, targetMs: 500, priority: 1, service: 's',
			}],
		}, 'test');
	}

	connect(isOpened = true): Caller {
		const connected = new Caller(this.time, isOpened);
		void this.#serve(connected);
		return connected;
	}

	async drain(givenMs = graceMs): Promise<void> {
		const shutdown = new shutdowns.Shutdown({
			clock: this.time, decisions: this.#decisions, graceMs: givenMs, sessions: this.sessions, responders: new Set(),
		});
		await shutdown.run();
		this.isStopped = true;
	}

	async #serve(connected: Caller): Promise<void> {
		const session = new sessions.Session(connected, {
			context: {clock: this.time, place: 'west', decisions: this.#decisions}, deployment: this.#deployment, executor: this.executor, limiter: new limiters.Unlimited(),
		});
		this.sessions.add(session);
		await session.run();
		this.sessions.delete(session);
	}
}

// Guards against a close between two requests, which the next request meets on its way.
test.test('sessions with requests close right after a reply', async () => {
	const host = new Host();
	const connected = Array.from({length: 20}, () => host.connect());
	await host.time.advance(1000);
	void host.drain();
	await host.time.advance(7);
	for (let ms = 0; ms < 3000; ms += 20) {
		for (const one of connected) {
			one.submit();
		}

		await host.time.advance(20);
	}

	assert.equal(host.isStopped, true);
	assert.deepEqual(connected.map(({closedAfterMs}) => closedAfterMs), connected.map(() => 0));
});

// Guards against callers that all open new sessions at once, and against idle sessions that hold up the exit.
test.test('idle sessions close one after the other, well within the grace time', async () => {
	for (const givenMs of [6000, 3000]) {
		const host = new Host();
		const connected = Array.from({length: 20}, () => host.connect());
		await host.time.advance(1000);
		void host.drain(givenMs);
		await host.time.advance(givenMs / 10);
		const closed = connected.filter(({isClosed}) => isClosed).length;
		assert.ok(closed > 0 && closed < 10, `${closed} closed`);
		await host.time.advance(givenMs / 2);
		assert.equal(host.isStopped, true);
	}
});

// Guards against a session that is closed as idle although its last reply has only just been sent.
test.test('a session that had a request a moment ago does not close as idle', async () => {
	const host = new Host();
	const connected = host.connect();
	await host.time.advance(1000);
	connected.submit();
	await host.time.advance(10);
	void host.drain();
	await host.time.advance(400);
	assert.equal(connected.isClosed, false);
	connected.submit();
	await host.time.advance(10);
	assert.deepEqual([connected.replies, connected.isClosed], [2, true]);
});

// Guards against a session of a new caller that is closed before its STARTUP has arrived.
test.test('a session that connects while the host drains is served and closes after its first reply', async () => {
	const host = new Host();
	const last = host.connect();
	host.executor.durationMs = 2500;
	last.submit();
	void host.drain();
	await host.time.advance(2300);
	const connected = host.connect(false);
	await host.time.advance(200);
	assert.equal(connected.isClosed, false);
	connected.startUp();
	host.executor.durationMs = 10;
	connected.submit();
	await host.time.advance(100);
	assert.deepEqual([connected.replies, connected.unanswered, connected.isClosed], [1, 0, true]);
	await host.time.advance(1000);
	assert.equal(host.isStopped, true);
});

// Guards against a close that is decided on input read before the process was stopped.
test.test('no idle session closes after a long turn of the event loop, until the end of the grace time', async () => {
	const host = new Host();
	const connected = host.connect();
	await host.time.advance(1000);
	host.time.turnMs = 20;
	void host.drain();
	await host.time.advance(1000);
	assert.equal(connected.isClosed, false);
	host.time.turnMs = 0;
	let isSent = false;
	host.time.onPoll = () => {
		// What waited unread arrives with the next poll.
		if (!isSent) {
			isSent = true;
			connected.submit();
		}
	};

	await host.time.advance(100);
	assert.deepEqual([connected.replies, connected.unanswered], [1, 0]);
});

// Guards against an idle session that keeps the process alive until it is killed.
test.test('an idle session closes at the end of the grace time even on a machine without processor time', async () => {
	const host = new Host();
	const connected = host.connect();
	await host.time.advance(1000);
	host.time.turnMs = 20;
	void host.drain();
	await host.time.advance(graceMs - 500);
	assert.deepEqual([connected.isClosed, host.isStopped], [true, true]);
});

// Guards against a close that meets the next request, which was sent while the process was stopped after a reply.
test.test('a reply that takes long to write does not close the session, the next one does', async () => {
	const host = new Host();
	const connected = host.connect();
	await host.time.advance(1000);
	connected.submit();
	await host.time.advance(10);
	void host.drain();
	await host.time.advance(100);
	connected.replyMs = 20;
	connected.submit();
	await host.time.advance(100);
	assert.deepEqual([connected.replies, connected.isClosed], [2, false]);
	connected.replyMs = 0;
	connected.submit();
	await host.time.advance(10);
	assert.deepEqual([connected.replies, connected.isClosed], [3, true]);
});

// Guards against a session that stays open after the end of the shutdown, so that the process is killed with a request.
test.test('a session whose request outlasts the shutdown closes with the reply', async () => {
	const host = new Host();
	const connected = host.connect();
	await host.time.advance(1000);
	host.executor.durationMs = graceMs;
	connected.replyMs = 20;
	connected.submit();
	void host.drain();
	await host.time.advance(graceMs - 100);
	assert.deepEqual([host.isStopped, connected.isClosed], [true, false]);
	await host.time.advance(200);
	assert.deepEqual([connected.replies, connected.isClosed], [1, true]);
});

// Guards against a session that counts as idle for the length of a stop between a poll and the decision to close it.
test.test('a stop of the process after a poll is no idle time', async () => {
	const host = new Host();
	const connected = host.connect();
	await host.time.advance(1000);
	connected.submit();
	await host.time.advance(10);
	host.time.stopAfterPollMs = 600;
	void host.drain();
	await host.time.advance(120);
	host.time.stopAfterPollMs = 0;
	assert.equal(connected.isClosed, false);
	connected.submit();
	await host.time.advance(10);
	assert.deepEqual([connected.replies, connected.isClosed], [2, true]);
});
