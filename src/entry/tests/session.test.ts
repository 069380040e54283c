import * as assert from 'node:assert/strict';
import * as test from 'node:test';
import type * as types from '../../generated/types.js';
import * as caller from '../caller.js';
import * as deployments from '../deployment.js';
import * as executor from '../executor.js';
import type * as jobs from '../job.js';
import * as local from '../local.js';
import * as sessions from '../session.js';
import * as statement from '../statement.js';
import * as fixture from './fixture.js';

/** Longer than a request may wait for a connection. */
const answerMs = 400;

/** A caller whose requests a test gives one by one. */
class Caller extends caller.Caller {
	override readonly peer = 'test';
	readonly replies: statement.Reply[] = [];
	rejected: statement.Refusal | undefined;
	isClosed = false;
	#requests: statement.Request[] = [];
	#wake: (() => void) | undefined;
	#count = 0;

	override get isWaiting(): boolean {
		return this.#requests.length > 0 || this.#count > this.replies.length;
	}

	give(given: statement.Statement): void {
		this.#count++;
		this.#requests.push({id: `q${this.#count}`, statement: given});
		this.#wake?.();
	}

	override async open(): Promise<caller.Opening> {
		return {database: 'd', user: 'u'};
	}

	override welcome(): void {
		this.isClosed = false;
	}

	override reject(refusal: statement.Refusal): void {
		this.rejected = refusal;
		this.isClosed = true;
	}

	override async next(): Promise<statement.Request | undefined> {
		while (this.#requests.length === 0 && !this.isClosed) {
			await new Promise<void>(resolve => {
				this.#wake = resolve;
			});
		}

		return this.#requests.shift();
	}

	override reply(reply: statement.Reply): void {
		this.replies.push(reply);
	}

	override close(): void {
		this.isClosed = true;
		this.#requests = [];
		this.#wake?.();
	}
}

class Served {
	readonly parts = new fixture.Fixture();
	readonly deployment = new deployments.Deployment(this.parts.time, this.parts.record);
	#version = 0;

	async start(kind: types.RouteKind, share = 4): Promise<void> {
		this.configure([this.parts.route({kind, maximumAgeMs: kind === 'primary' ? 0 : 1500})]);
		await this.parts.start(undefined, share);
	}

	configure(routes: types.Route[]): void {
		this.#version++;
		this.deployment.accept({
			version: this.#version, routes, databases: [], idleTransactionMs: 3000,
		}, 'test');
	}

	open(): {given: Caller; session: sessions.Session} {
		const given = new Caller();
		const session = new sessions.Session(given, {
			context: this.parts.context,
			deployment: this.deployment,
			executor: new local.Local(this.parts.context, () => this.parts.group),
		});
		void session.run();
		return {given, session};
	}

	async ask(given: Caller, ...statements: statement.Statement[]): Promise<statement.Reply[]> {
		for (const one of statements) {
			given.give(one);
			await this.parts.time.advance(answerMs);
		}

		return given.replies.slice(-statements.length);
	}
}

function direct(text: string): statement.Statement {
	return {kind: 'direct', mode: text.startsWith('WRITE') ? 'write' : 'read', text};
}

test.test('sessions share a connection without seeing each other\'s values and prepared names', async () => {
	const served = new Served();
	await served.start('primary', 1);
	const one = served.open();
	const other = served.open();
	await served.ask(one.given, {kind: 'set', name: 'zone', value: 'x'}, {
		kind: 'prepare', name: 's1', mode: 'write', shape: 'qa',
	}, {kind: 'execute', name: 's1', parameters: '1 d'});
	await served.ask(other.given, {
		kind: 'prepare', name: 's1', mode: 'write', shape: 'qb',
	}, {kind: 'execute', name: 's1', parameters: '2 d'});
	await served.ask(one.given, {kind: 'execute', name: 's1', parameters: '3 d'});
	assert.deepEqual(served.parts.cluster.ran.map(({text, values}) => ({text, values})), [
		{text: 'WRITE qa 1 d', values: {zone: 'x'}},
		{text: 'WRITE qb 2 d', values: {}},
		{text: 'WRITE qa 3 d', values: {zone: 'x'}},
	]);
	await served.parts.stop();
});

test.test('a transaction keeps its connection, and another session waits for another one', async () => {
	const served = new Served();
	await served.start('primary', 1);
	const one = served.open();
	const other = served.open();
	const [begun, written] = await served.ask(one.given, {kind: 'begin', mode: 'write'}, direct('WRITE 1 a'));
	assert.deepEqual([begun?.state, written?.state], ['open', 'open']);
	const [refused] = await served.ask(other.given, direct('WRITE 2 b'));
	assert.equal(refused?.refusal, 'busy');
	const [committed] = await served.ask(one.given, {kind: 'commit', text: 'COMMIT'});
	assert.deepEqual([committed?.refusal, committed?.state], [null, 'none']);
	assert.deepEqual(served.parts.cluster.ran.map(({text}) => text), ['WRITE 1 a', 'COMMIT']);
	await served.parts.stop();
});

test.test('a transaction whose connection is lost before COMMIT is aborted, and nothing of it is kept', async () => {
	const served = new Served();
	await served.start('primary');
	const {given} = served.open();
	await served.ask(given, {kind: 'begin', mode: 'write'}, direct('WRITE 1 a'));
	for (const connection of served.parts.cluster.get('a').connections) {
		connection.close();
	}

	const [lost, committed] = await served.ask(given, direct('WRITE 2 b'), {kind: 'commit', text: 'COMMIT'});
	assert.deepEqual([lost?.refusal, lost?.state], ['aborted', 'failed']);
	assert.deepEqual([committed?.refusal, committed?.state], ['aborted', 'none']);
	await served.parts.stop();
});

test.test('a COMMIT whose answer is lost is in doubt', async () => {
	const served = new Served();
	await served.start('primary');
	const {given} = served.open();
	await served.ask(given, {kind: 'begin', mode: 'write'}, direct('WRITE 1 a'));
	served.parts.cluster.get('a').manner = 'answer-lost';
	given.give({kind: 'commit', text: 'COMMIT'});
	await served.parts.time.advance(900);
	assert.equal(given.replies.at(-1)?.refusal, 'in-doubt');
	await served.parts.stop();
});

test.test('a transaction that rests for too long is ended, and its caller is told with the next statement', async () => {
	const served = new Served();
	await served.start('primary', 1);
	const {given} = served.open();
	await served.ask(given, {kind: 'begin', mode: 'write'});
	await served.parts.time.advance(4000);
	const [told, ended] = await served.ask(given, direct('WRITE 1 a'), {kind: 'rollback', text: 'ROLLBACK'});
	assert.equal(told?.refusal, 'aborted');
	assert.deepEqual([ended?.refusal, ended?.state], [null, 'none']);
	assert.deepEqual(served.parts.cluster.ran, []);
	await served.parts.stop();
});

test.test('a route that was dropped is not served, from the next transaction on', async () => {
	const served = new Served();
	await served.start('session');
	const {given} = served.open();
	await served.ask(given, direct('READ 1'));
	served.configure([]);
	const [refused] = await served.ask(given, direct('READ 2'));
	assert.equal(refused?.refusal, 'no-database');
	assert.equal(served.parts.cluster.ran.length, 1);
	await served.parts.stop();
});

test.test('a session that leaves closes only between requests', async () => {
	const served = new Served();
	await served.start('primary');
	const {given, session} = served.open();
	await served.ask(given, {kind: 'begin', mode: 'write'});
	session.leave();
	assert.equal(given.isClosed, false);
	await served.ask(given, direct('WRITE 1 a'), {kind: 'commit', text: 'COMMIT'});
	assert.equal(given.replies.at(-1)?.refusal, null);
	assert.equal(given.isClosed, true);
	await served.parts.stop();
});

/** Answers at once, and keeps the jobs. */
class Kept extends executor.Executor {
	readonly jobs: jobs.Job[] = [];

	override expect(): void {
		// Nothing to prepare.
	}

	override async run(job: jobs.Job): Promise<statement.Reply> {
		this.jobs.push(job);
		return statement.own('none');
	}

	override async begin(): Promise<statement.Reply> {
		return statement.refuse('busy', 'not needed', 'none');
	}
}

test.test('an attempt that goes on after its statement was answered does not see values that are set later', async () => {
	const served = new Served();
	await served.start('session');
	const kept = new Kept();
	const given = new Caller();
	void new sessions.Session(given, {context: served.parts.context, deployment: served.deployment, executor: kept}).run();
	await served.ask(given, direct('READ 1'), {kind: 'set', name: 'v1', value: '1'}, direct('READ 2'));
	assert.deepEqual(kept.jobs.map(({state}) => [...state.values]), [[], [['v1', '1']]]);
	await served.parts.stop();
});
